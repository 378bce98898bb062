#include "CommandLine.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace cicada {

Result<int64_t> parseNumber(absl::string_view option, absl::string_view text, int64_t min, int64_t max)
{
    int64_t value = 0;
    if (absl::SimpleAtoi(text, &value) && value >= min && value <= max)
        return value;
    return Error { ErrorKind::InvalidRequest,
        absl::StrCat("Option --", option, " takes a whole number from ", min, " to ", max, ", not '", text, "'."),
        "See --help." };
}

int reportError(absl::string_view program, const Error& error, int code)
{
    std::cerr << program << ": " << describe(error) << "\n";
    return code;
}

int printVersion(absl::string_view program)
{
    std::cout << program << " " << CICADA_VERSION << "\n";
    return exitSuccess;
}

Result<std::string> readFile(const std::string& path, ErrorKind kind, absl::string_view what)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { kind, absl::StrCat("The ", what, " '", path, "' can't be read."),
            "Check the path and the file's permissions." };
    return text.str();
}

} // namespace cicada

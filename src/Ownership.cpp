#include "Ownership.h"

#include "absl/strings/str_cat.h"

namespace cicada {

std::string claimGroup(uint32_t partition) { return absl::StrCat("claims/", partition); }

} // namespace cicada

#include "CellKeys.h"

#include "absl/strings/str_cat.h"

namespace cicada {

namespace {

    absl::string_view nameOf(CellKeyKind kind)
    {
        switch (kind) {
        case CellKeyKind::Job:
            return "job";
        case CellKeyKind::Run:
            return "run";
        case CellKeyKind::Arrival:
            return "arrival";
        }
        return "job";
    }

} // namespace

std::string cellKey(CellKeyKind kind, uint32_t cell, absl::string_view id)
{
    return absl::StrCat("cicada/", nameOf(kind), "/", cell, "/", id);
}

std::string idOfCellKey(absl::string_view key) { return std::string(key.substr(key.rfind('/') + 1)); }

} // namespace cicada

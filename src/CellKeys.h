#pragma once

/** \file
 * The keys of the store under which the owner of a cell keeps what it knows of a job.
 */

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace cicada {

/** What is stored of a job in a cell: the job record, the run record, and the notice that it arrived from another. */
enum class CellKeyKind { Job, Run, Arrival };

/** The key of a job's record of this kind in a cell; with an empty id, the prefix of all of them. */
std::string cellKey(CellKeyKind kind, uint32_t cell, absl::string_view id);
/** The job's id in a key. */
std::string idOfCellKey(absl::string_view key);

} // namespace cicada

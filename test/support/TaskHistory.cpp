#include "TaskHistory.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada::test {

void TaskHistory::recordAcknowledgedEnd(RunEnding ending, Instant since)
{
    if (ending == RunEnding::Finished)
        m_finishedSince.push_back(since);
    if (ending == RunEnding::Failed)
        m_failedSince.push_back(since);
}

std::string TaskHistory::violation(uint32_t maxAttempts) const
{
    const auto endsBeforeLastStart = [this](const std::vector<Instant>& ends) {
        return static_cast<size_t>(
            std::count_if(ends.begin(), ends.end(), [this](Instant end) { return end < m_lastStartAt; }));
    };
    if (endsBeforeLastStart(m_finishedSince) > 0)
        return "started after a run had finished";
    const size_t failed = endsBeforeLastStart(m_failedSince);
    if (failed >= maxAttempts)
        return absl::StrCat("started after ", failed, " failed runs");
    return "";
}

} // namespace cicada::test

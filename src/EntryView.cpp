#include "EntryView.h"

#include <algorithm>

namespace cicada {

bool EntryView::accept(const JobReport& report, Instant now)
{
    if (pastSessions.contains(report.session))
        return false;
    if (session != report.session) {
        if (session != 0)
            pastSessions.insert(session);
        session = report.session;
        sequence = 0;
        partitions.clear();
    }
    if (report.sequence <= sequence)
        return false;
    sequence = report.sequence;
    lastReportAt = now;
    free = report.free;
    ownsRacks = !report.racks.empty();
    return true;
}

const PartitionView* EntryView::partition(uint32_t number) const
{
    auto it = partitions.find(number);
    return it == partitions.end() ? nullptr : &it->second;
}

void EntryView::addToForget(const RunId& id)
{
    if (std::find(forget.begin(), forget.end(), id) == forget.end())
        forget.push_back(id);
}

void EntryView::noteForgotten(const RunId& id)
{
    forget.erase(std::remove(forget.begin(), forget.end(), id), forget.end());
}

} // namespace cicada

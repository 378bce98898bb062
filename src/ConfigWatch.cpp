#include "ConfigWatch.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace cicada {

void ConfigWatch::subscribe(absl::string_view part, Callback callback)
{
    m_subscribers.emplace_back(absl::StrCat(configPrefix, part), std::move(callback));
}

void ConfigWatch::start()
{
    m_store.watch(configPrefix, [this](absl::Span<const StoreEntry> entries) { deliver(entries); });
}

void ConfigWatch::refresh()
{
    if (m_refreshing)
        return;
    m_refreshing = true;
    m_store.list(configPrefix, [this, before = m_snapshots](const StoreReply& reply) {
        m_refreshing = false;
        const bool answered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Missing;
        // If the watch reported in the meantime, this listing may be older than that report.
        if (answered && before == m_snapshots)
            deliver(reply.entries);
    });
}

void ConfigWatch::deliver(absl::Span<const StoreEntry> entries)
{
    ++m_snapshots;
    for (auto& [prefix, callback] : m_subscribers) {
        std::vector<StoreEntry> part;
        for (const StoreEntry& entry : entries) {
            if (absl::StartsWith(entry.key, prefix))
                part.push_back(entry);
        }
        callback(part);
    }
}

} // namespace cicada

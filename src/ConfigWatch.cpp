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

void ConfigWatch::deliver(absl::Span<const StoreEntry> entries)
{
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

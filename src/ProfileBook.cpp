#include "ProfileBook.h"

#include "Json.h"
#include "Pack.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    constexpr absl::string_view bookKey = "cicada/config/profiles";
    constexpr absl::string_view bookPart = "profiles";
    constexpr absl::string_view bookService = "profile-book";
    constexpr absl::string_view versionService = "profile-version";
    constexpr absl::Duration retryDelay = absl::Milliseconds(200);

    using Internal::Json;

    /** The book with one change made, as the text to store. */
    std::string applyChange(const std::string& current, const ProfileChange& change, uint64_t newVersion)
    {
        Json book = current.empty() ? Json::object() : Json::parse(current);
        book["version"] = newVersion;
        Json& profiles = book["profiles"];
        if (profiles.is_null())
            profiles = Json::object();
        // A deleted profile leaves its change behind, so that the change is recognised when it is sent again.
        book["lastDeletion"] = change.json ? book.value("lastDeletion", "") : change.changeId;
        if (!change.json)
            profiles.erase(change.name);
        else
            profiles[change.name] = { { "version", newVersion }, { "changeId", change.changeId },
                { "profile", Json::parse(*change.json) } };
        return book.dump();
    }

} // namespace

struct ProfileBook::Pending {
    ProfileChange change;
    ChangeCallback callback;
    Instant giveUp;
    Instant retryAt;
};

ProfileBook::ProfileBook(Store& store, PeerBus& peers, ConfigWatch& watch, const Clock& clock)
    : m_store(store)
    , m_peers(peers)
    , m_clock(clock)
{
    watch.subscribe(bookPart, [this](absl::Span<const StoreEntry> entries) {
        if (!entries.empty())
            adopt(entries[0].value);
    });
    m_peers.handle(bookService, [this](absl::string_view, absl::string_view bytes) { handlePeerBook(bytes); });
    m_peers.handle(
        versionService, [this](absl::string_view from, absl::string_view bytes) { handlePeerVersion(from, bytes); });
}

ProfileBook::~ProfileBook() = default;

const ProfileRecord* ProfileBook::find(absl::string_view name) const
{
    auto it = m_profiles.find(name);
    return it == m_profiles.end() ? nullptr : &it->second;
}

void ProfileBook::change(ProfileChange change, ChangeCallback callback)
{
    if (change.json) {
        auto parsed = parseProfile(change.name, *change.json);
        if (!parsed)
            return callback(parsed.error());
    }
    auto pending = std::make_shared<Pending>();
    pending->change = std::move(change);
    pending->callback = std::move(callback);
    pending->giveUp = m_clock.now() + changeTimeout;
    attempt(pending);
}

void ProfileBook::attempt(const PendingPtr& pending)
{
    m_store.get(bookKey, [this, pending](const StoreReply& reply) { handleCurrent(pending, reply); });
}

void ProfileBook::handleCurrent(const PendingPtr& pending, const StoreReply& reply)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(pending);
    const std::string current = reply.entries.empty() ? "" : reply.entries[0].value;
    const uint64_t index = reply.entries.empty() ? 0 : reply.entries[0].index;
    if (!current.empty())
        adopt(current);
    const ProfileRecord* record = find(pending->change.name);
    const bool deletedBefore = !pending->change.json && !current.empty()
        && Json::parse(current).value("lastDeletion", "") == pending->change.changeId;
    // A change whose reply was lost is found already made.
    if ((record && record->changeId == pending->change.changeId) || deletedBefore)
        return pending->callback(record ? record->version : m_version);
    auto expected = checkExpected(*pending);
    if (!expected)
        return pending->callback(expected.error());
    std::string text = applyChange(current, pending->change, m_version + 1);
    m_store.put(bookKey, text, index,
        [this, pending, text](const StoreReply& written) { handleWritten(pending, text, written); });
}

void ProfileBook::handleWritten(const PendingPtr& pending, const std::string& text, const StoreReply& reply)
{
    if (reply.status != StoreStatus::Ok)
        return retryLater(pending);
    adopt(text);
    spread();
    pending->callback(m_version);
}

void ProfileBook::retryLater(const PendingPtr& pending)
{
    const Instant now = m_clock.now();
    if (now >= pending->giveUp) {
        pending->callback(Error { ErrorKind::StoreUnavailable,
            "The store did not confirm the change in time; it may or may not have been made.",
            "Send it again with the same change id: it is then made at most once." });
        return;
    }
    pending->retryAt = now + retryDelay;
    m_waiting.push_back(pending);
}

Result<void> ProfileBook::checkExpected(const Pending& pending) const
{
    const ProfileChange& change = pending.change;
    const ProfileRecord* record = find(change.name);
    const uint64_t version = record ? record->version : 0;
    if (!change.json && !record)
        return Error { ErrorKind::UnknownProfile, absl::StrCat("There is no profile '", change.name, "'."),
            "List the profiles to see their names." };
    if (!change.expectedVersion || *change.expectedVersion == version)
        return success();
    return Error { ErrorKind::Conflict,
        absl::StrCat("Profile '", change.name, "' is at version ", version, " and not at ", *change.expectedVersion,
            ". In force: ", record ? profileToJson(record->profile) : "none",
            ". Yours: ", change.json.value_or("delete"), "."),
        "Look at the one in force, and send the change again with its version." };
}

bool ProfileBook::adopt(absl::string_view text)
{
    const Json book = Json::parse(text.begin(), text.end(), nullptr, false);
    if (!book.is_object() || book.value("version", uint64_t { 0 }) <= m_version)
        return false;
    absl::btree_map<std::string, ProfileRecord> profiles;
    for (const auto& [name, item] : book["profiles"].items()) {
        auto profile = parseProfile(name, item["profile"].dump());
        if (!profile) {
            LOG(ERROR) << "profile " << name << " in the store is not taken: " << describe(profile.error());
            continue;
        }
        profiles[name]
            = { std::move(profile.value()), item.value("version", uint64_t { 0 }), item.value("changeId", "") };
    }
    m_profiles = std::move(profiles);
    m_version = book["version"].get<uint64_t>();
    m_text = std::string(text);
    return true;
}

void ProfileBook::spread()
{
    for (const std::string& peer : m_peers.peerNames())
        m_peers.send(peer, bookService, m_text);
}

void ProfileBook::handlePeerBook(absl::string_view bytes) { adopt(bytes); }

void ProfileBook::handlePeerVersion(absl::string_view from, absl::string_view bytes)
{
    uint64_t version = 0;
    if (!Internal::unpackFields(bytes, "profile-version", version))
        return;
    if (version < m_version)
        m_peers.send(from, bookService, m_text);
}

void ProfileBook::tick(Instant now)
{
    std::vector<PendingPtr> waiting;
    waiting.swap(m_waiting);
    for (auto& pending : waiting) {
        if (now >= pending->retryAt)
            attempt(pending);
        else
            m_waiting.push_back(pending);
    }
    if (now < m_nextSpread)
        return;
    m_nextSpread = now + spreadInterval;
    for (const std::string& peer : m_peers.peerNames())
        m_peers.send(peer, versionService, Internal::packFields(m_version));
}

} // namespace cicada

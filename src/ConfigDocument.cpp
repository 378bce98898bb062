#include "ConfigDocument.h"

#include "Json.h"
#include "Pack.h"

#include <algorithm>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::Duration retryDelay = absl::Milliseconds(200);
    /** A repeated change is recognised as long as at most this many changes followed it. */
    constexpr size_t maxRecentChanges = 256;

} // namespace

/** The document as it is stored. */
struct ConfigDocument::Content {
    uint64_t version = 0;
    std::vector<std::string> recentChanges;
    std::string body;

    static bool decode(absl::string_view text, Content& content)
    {
        const auto parsed = Internal::parseJson(text, "configuration document", ErrorKind::MalformedMessage);
        if (!parsed)
            return false;
        const Json& document = parsed.value();
        try {
            if (!isObjectOfRecords(document.at("body")))
                return false;
            content.version = Internal::integerOf<uint64_t>(document.at("version"));
            content.recentChanges = document.at("recentChanges").get<std::vector<std::string>>();
            content.body = document.at("body").dump();
        } catch (const Json::exception&) {
            return false;
        }
        return true;
    }

    /** The body must be an object whose members are objects. The content of a record is validated by its reader. */
    static bool isObjectOfRecords(const Json& body)
    {
        return body.is_object()
            && std::all_of(body.begin(), body.end(), [](const Json& record) { return record.is_object(); });
    }

    std::string encode() const
    {
        return Json {
            { "version", version }, { "recentChanges", recentChanges }, { "body", Json::parse(body) }
        }.dump();
    }

    bool includes(const std::string& changeId) const
    {
        return std::find(recentChanges.begin(), recentChanges.end(), changeId) != recentChanges.end();
    }

    void addRecentChange(const std::string& changeId)
    {
        recentChanges.push_back(changeId);
        if (recentChanges.size() > maxRecentChanges)
            recentChanges.erase(recentChanges.begin());
    }
};

struct ConfigDocument::Pending {
    std::string changeId;
    Edit edit;
    ChangeCallback callback;
    Instant deadline;
    Instant retryAt;
};

ConfigDocument::ConfigDocument(std::string name, Store& store, PeerBus& peers, ConfigWatch& watch, const Clock& clock)
    : m_name(std::move(name))
    , m_key(absl::StrCat(configPrefix, m_name))
    , m_service(absl::StrCat("config-", m_name))
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
{
    watch.subscribe(m_name, [this](absl::Span<const StoreEntry> entries) {
        for (const StoreEntry& entry : entries) {
            if (entry.key == m_key)
                adopt(entry.value);
        }
    });
    m_peers.handle(
        m_service, [this](absl::string_view from, absl::string_view bytes) { handlePeerMessage(from, bytes); });
}

ConfigDocument::~ConfigDocument() = default;

void ConfigDocument::change(std::string changeId, Edit edit, ChangeCallback callback)
{
    auto pending = std::make_shared<Pending>();
    pending->changeId = std::move(changeId);
    pending->edit = std::move(edit);
    pending->callback = std::move(callback);
    pending->deadline = m_clock.now() + changeTimeout;
    attempt(pending);
}

void ConfigDocument::attempt(const PendingPtr& pending)
{
    m_store.get(m_key, [this, pending](const StoreReply& reply) { handleCurrent(pending, reply); });
}

void ConfigDocument::handleCurrent(const PendingPtr& pending, const StoreReply& reply)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(pending);
    Content content;
    uint64_t index = 0;
    if (!reply.entries.empty()) {
        index = reply.entries[0].index;
        if (!Content::decode(reply.entries[0].value, content))
            return pending->callback(
                Error { ErrorKind::Internal, absl::StrCat("The value of ", m_key, " in the store is malformed."),
                    "Restore it from a backup, or delete it to start with an empty document." });
        adopt(reply.entries[0].value);
    }
    // An earlier attempt whose reply was lost has already made this change.
    if (content.includes(pending->changeId))
        return pending->callback(content.version);
    auto body = pending->edit(content.body, content.version + 1);
    if (!body)
        return pending->callback(body.error());
    ++content.version;
    content.addRecentChange(pending->changeId);
    content.body = std::move(body.value());
    const std::string text = content.encode();
    m_store.put(m_key, text, index, [this, pending, text, version = content.version](const StoreReply& written) {
        if (written.status != StoreStatus::Ok)
            return retryLater(pending);
        adopt(text);
        for (const std::string& peer : m_peers.peerNames())
            sendDocument(peer);
        pending->callback(version);
    });
}

void ConfigDocument::retryLater(const PendingPtr& pending)
{
    const Instant now = m_clock.now();
    if (now >= pending->deadline) {
        pending->callback(Error { ErrorKind::StoreUnavailable,
            "The store did not confirm the change in time; it may or may not have been made.",
            "Send it again with the same change id: it is then made at most once." });
        return;
    }
    pending->retryAt = now + retryDelay;
    m_waiting.push_back(pending);
}

bool ConfigDocument::adopt(absl::string_view text)
{
    Content content;
    if (!Content::decode(text, content) || content.version <= m_version)
        return false;
    m_version = content.version;
    m_text = std::string(text);
    if (m_observer)
        m_observer(content.body, m_version);
    return true;
}

void ConfigDocument::sendDocument(absl::string_view peer)
{
    m_peers.send(peer, m_service, Internal::packFields(m_version, m_text));
}

/** A peer announces its version periodically without the text; it adds the text when it knows that ours is older. */
void ConfigDocument::handlePeerMessage(absl::string_view from, absl::string_view bytes)
{
    uint64_t version = 0;
    std::string text;
    if (!Internal::unpackFields(bytes, m_service, version, text))
        return;
    if (!text.empty())
        adopt(text);
    else if (version < m_version)
        sendDocument(from);
}

void ConfigDocument::tick(Instant now)
{
    std::vector<PendingPtr> waiting;
    waiting.swap(m_waiting);
    for (auto& pending : waiting) {
        if (now >= pending->retryAt)
            attempt(pending);
        else
            m_waiting.push_back(pending);
    }
    if (now < m_nextGossip)
        return;
    m_nextGossip = now + gossipInterval;
    for (const std::string& peer : m_peers.peerNames())
        m_peers.send(peer, m_service, Internal::packFields(m_version, std::string()));
}

} // namespace cicada

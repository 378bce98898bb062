#include "OwnershipTable.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

#include <algorithm>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::string_view tablePart = "owners";
    /** How long to wait for the watch to deliver the outcome of a write before reading the store. */
    constexpr absl::Duration retryInterval = absl::Milliseconds(300);
    constexpr absl::Duration planInterval = absl::Milliseconds(20);
    /** Each entry delays work that any entry may do by this much per rank, so that they don't all write at once. */
    constexpr absl::Duration delayPerRank = absl::Milliseconds(30);
    /** Groups are rebalanced only after the members and groups have been unchanged for this long. */
    constexpr absl::Duration balanceDelay = absl::Milliseconds(700);
    /** The record of an ended entry is kept for this long. */
    constexpr absl::Duration endedRetention = absl::Seconds(30);

    std::string tableKey() { return absl::StrCat(configPrefix, tablePart); }

    std::string encodeTable(const OwnershipRows& rows, uint64_t lastEpoch)
    {
        Json list = Json::array();
        for (const auto& [group, row] : rows)
            list.push_back({ group, row.owner.name, row.owner.incarnation, row.epoch, row.region });
        return Json { { "lastEpoch", lastEpoch }, { "rows", list } }.dump();
    }

    bool decodeTable(const std::string& text, OwnershipRows& rows, uint64_t& lastEpoch)
    {
        try {
            const auto document = Json::parse(text);
            lastEpoch = Internal::integerOf<uint64_t>(document.at("lastEpoch"));
            rows.clear();
            for (const auto& item : document.at("rows")) {
                OwnershipRow& row = rows[item.at(0).get<std::string>()];
                row.owner.name = item.at(1).get<std::string>();
                row.owner.incarnation = Internal::integerOf<uint64_t>(item.at(2));
                row.epoch = Internal::integerOf<uint64_t>(item.at(3));
                row.region = item.at(4).get<std::string>();
            }
            return true;
        } catch (const Json::exception& error) {
            LOG(ERROR) << "cannot parse the ownership table in the store: " << error.what();
            return false;
        }
    }

} // namespace

OwnershipTable::OwnershipTable(const Settings& settings, Store& store, Membership& membership, ConfigWatch& watch,
    BackEnds& backEnds, const Clock& clock, Authority& authority)
    : m_settings(settings)
    , m_store(store)
    , m_membership(membership)
    , m_watch(watch)
    , m_backEnds(backEnds)
    , m_clock(clock)
    , m_authority(authority)
{
    // Subscribed after the membership, so that it is notified of the same snapshot first.
    watch.subscribe(tablePart, [this](absl::Span<const StoreEntry> entries) { handleTable(entries); });
    backEnds.onChange([this] { detectChange(); });
}

std::optional<Term> OwnershipTable::term(absl::string_view group) const
{
    auto it = m_owned.find(group);
    if (it == m_owned.end() || m_ownedBy != m_authority.self() || !m_authority.active())
        return std::nullopt;
    return Term { it->second, m_authority.until() };
}

std::string OwnershipTable::owner(absl::string_view group) const
{
    auto it = m_rows.find(group);
    return it == m_rows.end() ? "" : it->second.owner.name;
}

void OwnershipTable::handleTable(absl::Span<const StoreEntry> entries)
{
    const uint64_t index = entries.empty() ? 0 : entries[0].index;
    m_consistent = index >= m_index;
    detectChange();
    if (!m_consistent)
        return;
    const bool changed = index != m_index || !m_loaded;
    if (changed && !entries.empty() && !decodeTable(entries[0].value, m_rows, m_lastEpoch))
        return;
    if (changed)
        invalidatePlan();
    m_index = index;
    m_loaded = true;
    if (m_pending && m_index > m_pending->baseIndex)
        m_pending.reset();
    updateOwned();
}

/** Detects whether the members or the groups that the spread depends on have changed. */
void OwnershipTable::detectChange()
{
    std::string view;
    for (const Member& member : m_membership.members())
        absl::StrAppend(&view, member.name, " ", member.incarnation, " ", memberStateName(member.state), "\n");
    for (const BackEnd& backEnd : m_backEnds.all())
        absl::StrAppend(&view, backEnd.group(), "\n");
    if (view == m_view)
        return;
    m_view = std::move(view);
    m_viewChangedAt = m_clock.now();
    invalidatePlan();
}

void OwnershipTable::invalidatePlan()
{
    m_unownedPlanned = false;
    m_handoversPlanned = false;
}

/** Compares the rows with what was last reported to the observers, and notifies them of the differences. */
void OwnershipTable::updateOwned()
{
    absl::btree_map<std::string, uint64_t> owned;
    for (const auto& [group, row] : m_rows) {
        const bool released = m_pending && m_pending->released.contains(group);
        if (m_authority.registered() && row.owner == m_authority.self() && !released)
            owned[group] = row.epoch;
    }
    m_ownedBy = m_authority.self();
    const auto before = std::exchange(m_owned, owned);
    for (const auto& [group, epoch] : before) {
        auto now = owned.find(group);
        if (now == owned.end() || now->second != epoch)
            notify(group, epoch, false);
    }
    for (const auto& [group, epoch] : owned) {
        auto old = before.find(group);
        if (old == before.end() || old->second != epoch)
            notify(group, epoch, true);
    }
}

void OwnershipTable::notify(absl::string_view group, uint64_t epoch, bool owned)
{
    for (auto& observer : m_observers)
        observer(group, epoch, owned);
}

void OwnershipTable::tick(Instant now)
{
    if (!m_authority.registered() && !m_owned.empty())
        updateOwned();
    if (m_pending)
        return resolvePendingWrite(now);
    if (!m_loaded || !m_consistent || !m_authority.active() || now < m_nextPlan)
        return;
    m_nextPlan = now + planInterval;
    plan(now);
    removeEnded(now);
}

/** Until the index of the table changes, the last write may still take effect. If neither the watch nor a read shows a
 * new index, the table is written again unchanged: either this or the earlier write raises the index. */
void OwnershipTable::resolvePendingWrite(Instant now)
{
    if (!m_pending->replied || now < m_pending->nextTry)
        return;
    m_pending->nextTry = now + retryInterval;
    m_watch.refresh();
    send(encodeTable(m_rows, m_lastEpoch), now);
}

void OwnershipTable::plan(Instant now)
{
    const absl::Duration sinceChange = now - m_viewChangedAt;
    const absl::Duration rankDelay = delayPerRank * m_membership.rank(m_settings.name);
    OwnershipMoves moves;
    if (!m_unownedPlanned && sinceChange >= rankDelay) {
        moves = planUnownedGroups(m_rows, knownGroups(), m_membership);
        m_unownedPlanned = moves.empty();
    }
    if (m_unownedPlanned && !m_handoversPlanned && (m_leaving || sinceChange >= balanceDelay + rankDelay)) {
        moves = planHandovers(m_rows, m_membership, m_authority.self());
        m_handoversPlanned = moves.empty();
    }
    if (!moves.empty())
        return write(moves, now);
    if (m_leaving && groupsToHandOver() == 0)
        m_authority.end();
}

void OwnershipTable::write(const OwnershipMoves& moves, Instant now)
{
    OwnershipRows next = m_rows;
    m_pending = PendingWrite { m_index, {}, false, now };
    const GroupRegions regions = knownGroups();
    for (const auto& [group, owner] : moves) {
        OwnershipRow& row = next[group];
        if (row.owner == m_authority.self())
            m_pending->released.insert(group);
        auto region = regions.find(group);
        if (region != regions.end())
            row.region = region->second;
        row.owner = owner;
        row.epoch = m_lastEpoch + 1;
    }
    updateOwned();
    send(encodeTable(next, m_lastEpoch + 1), now);
}

void OwnershipTable::send(std::string value, Instant now)
{
    m_pending->replied = false;
    m_pending->nextTry = now + retryInterval;
    m_store.put(tableKey(), std::move(value), m_pending->baseIndex, [this](const StoreReply& reply) {
        if (!m_pending)
            return;
        m_pending->replied = true;
        if (reply.status != StoreStatus::Ok)
            m_watch.refresh();
    });
}

void OwnershipTable::leave()
{
    m_leaving = true;
    invalidatePlan();
    m_authority.announceStop();
}

size_t OwnershipTable::groupsToHandOver() const
{
    const auto members = m_membership.members();
    const bool anySuccessor = std::any_of(members.begin(), members.end(),
        [this](const Member& member) { return member.state == MemberState::Live && member.name != m_settings.name; });
    if (!anySuccessor)
        return 0;
    return std::count_if(
        m_rows.begin(), m_rows.end(), [this](const auto& item) { return item.second.owner == m_authority.self(); });
}

/** The entry of rank 0 removes the records of entries that ended at least `endedRetention` ago and own nothing. */
void OwnershipTable::removeEnded(Instant now)
{
    if (m_membership.rank(m_settings.name) != 0 || m_removing)
        return;
    for (const Member& member : m_membership.members()) {
        if (member.state != MemberState::Ended || ownsGroups(member.id()))
            continue;
        const Instant since = m_endedSince.try_emplace(member.id(), now).first->second;
        if (now - since < endedRetention)
            continue;
        m_removing = true;
        m_endedSince.erase(member.id());
        m_store.remove(memberKey(member.name), member.index, [this](const StoreReply&) { m_removing = false; });
        return;
    }
}

bool OwnershipTable::ownsGroups(const EntryId& id) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&id](const auto& item) { return item.second.owner == id; });
}

GroupRegions OwnershipTable::knownGroups() const
{
    GroupRegions groups;
    for (const BackEnd& backEnd : m_backEnds.all())
        groups[backEnd.group()] = backEnd.region;
    for (uint32_t partition = 0; partition < claimPartitions; ++partition)
        groups[claimGroup(partition)] = "";
    return groups;
}

} // namespace cicada

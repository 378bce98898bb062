#include "CellCount.h"

#include "Pack.h"

#include <algorithm>
#include <cmath>

namespace cicada {

namespace {

    /** Number of workers that a cell's owner can serve with one processor. */
    constexpr double workersPerProcessor = 800;
    /** Gives entries that start together time to discover each other. */
    constexpr absl::Duration initialDelay = absl::Milliseconds(900);
    constexpr absl::Duration rankDelay = absl::Milliseconds(200);
    constexpr absl::Duration countInterval = absl::Milliseconds(1000);
    /** Workers register one by one when all machines start together; after this long all of them are assumed to be
     * listed. */
    constexpr absl::Duration registrationTimeout = absl::Seconds(5);

} // namespace

void CellCount::applyStored(const std::string* bytes, uint64_t revision)
{
    uint32_t number = 0;
    if (!bytes || !Internal::unpackFields(*bytes, "number of cells", number) || number == 0 || number > maxCells) {
        m_parts.log.write("cell-count-unreadable", "revision", revision);
        return;
    }
    m_number = number;
    m_parts.log.write("cell-count", "cells", m_number, "revision", revision);
}

void CellCount::countIfDue(size_t rank, absl::Duration waited)
{
    // The entry of rank 0 counts; the others take over, by rank, if it does not succeed.
    const absl::Duration delay = initialDelay
        + (rank == 0 ? absl::ZeroDuration() : registrationTimeout + rankDelay * static_cast<double>(rank));
    if (m_isCounting || waited < delay || m_parts.timers.clock().now() - m_countedAt < countInterval)
        return;
    m_isCounting = true;
    m_parts.countWorkers([this, waited](std::optional<size_t> workers) { handleCount(workers, waited); });
}

void CellCount::handleCount(std::optional<size_t> workers, absl::Duration waited)
{
    m_isCounting = false;
    m_countedAt = m_parts.timers.clock().now();
    if (!workers || *workers == 0 || m_number != 0)
        return;
    const bool isStable = *workers == m_countedWorkers || waited > registrationTimeout;
    m_countedWorkers = *workers;
    if (isStable)
        write(*workers);
}

void CellCount::write(size_t workers)
{
    const double perCell = std::max(1.0, m_parts.processors * workersPerProcessor);
    const double wanted = std::ceil(static_cast<double>(workers) / perCell);
    const auto cells = static_cast<uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(maxCells)));
    m_parts.log.write("cells-planned", "cells", cells, "workers", workers, "processors", m_parts.processors);
    Transaction transaction;
    transaction.conditions.push_back({ key, 0 });
    transaction.writes.push_back({ key, Internal::packFields(cells), 0 });
    // The watch delivers the number, whichever entry wrote it; until then countIfDue() tries again.
    m_parts.store.transact(std::move(transaction), [this](const TransactionReply& reply) {
        if (reply.status == TransactionStatus::Unknown || reply.status == TransactionStatus::NotApplied)
            m_parts.log.write("cell-count-not-written", "unknown", reply.status == TransactionStatus::Unknown ? 1 : 0);
    });
}

} // namespace cicada

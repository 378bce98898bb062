#include "JobRecords.h"

#include "absl/strings/str_cat.h"

#include <memory>

namespace cicada {

namespace {

    constexpr absl::Duration retryDelay = absl::Milliseconds(200);

    Error storeUnavailable()
    {
        return { ErrorKind::StoreUnavailable, "The store did not confirm the job; it may or may not be stored.",
            "Send it again with the same Idempotency-Key: it is accepted once." };
    }

    Error conflict(const std::string& id)
    {
        return { ErrorKind::Conflict, absl::StrCat("Another job is stored under the id ", id, "."),
            "Use a new Idempotency-Key for a new job." };
    }

} // namespace

JobRecords::JobRecords(Store& store, const Clock& clock)
    : m_store(store)
    , m_clock(clock)
{
}

void JobRecords::create(JobRecord record, absl::Duration timeout, CreateCallback callback)
{
    beginWrite(std::move(record), true, timeout, std::move(callback));
}

void JobRecords::update(JobRecord record, absl::Duration timeout, UpdateCallback callback)
{
    beginWrite(std::move(record), false, timeout, std::move(callback));
}

void JobRecords::beginWrite(JobRecord record, bool isNew, absl::Duration timeout, CreateCallback callback)
{
    const Instant now = m_clock.now();
    auto write = std::make_shared<Write>();
    write->record = std::move(record);
    write->isNew = isNew;
    write->deadline = now + timeout;
    write->callback = std::move(callback);
    m_writes.push_back(write);
    // A new job is written without reading first; the stored record is read only if the write fails.
    if (isNew)
        put(write, 0);
    else
        attempt(write);
}

void JobRecords::attempt(const WritePtr& write)
{
    write->isInFlight = true;
    m_store.get(jobKey(write->record.spec.id), [this, write](const StoreReply& reply) { handleCurrent(write, reply); });
}

void JobRecords::handleCurrent(const WritePtr& write, const StoreReply& reply)
{
    if (reply.status == StoreStatus::Unavailable)
        return retryLater(write);
    if (reply.entries.empty()) {
        if (write->isNew)
            return put(write, 0);
        return finish(write,
            Error { ErrorKind::UnknownJob, "The job is no longer in the store.", "Submit it again if it is needed." });
    }
    auto stored = decodeRecord(reply.entries[0].value);
    if (!stored)
        return finish(write, stored.error());
    if (write->isNew)
        return finish(write,
            sameJob(stored.value().spec, write->record.spec) ? std::move(stored)
                                                             : Result<JobRecord>(conflict(write->record.spec.id)));
    mergeInto(write->record, stored.value());
    if (encodeRecord(write->record) == reply.entries[0].value)
        return finish(write, write->record);
    put(write, reply.entries[0].index);
}

void JobRecords::put(const WritePtr& write, uint64_t index)
{
    write->isInFlight = true;
    const std::string text = encodeRecord(write->record);
    if (text.size() > maxRecordBytes)
        return finish(write,
            Error { ErrorKind::TooLarge, absl::StrCat("The stored job record would take ", text.size(), " bytes."),
                absl::StrCat("Keep it below ", maxRecordBytes, " bytes: pass large commands by reference.") });
    m_store.put(jobKey(write->record.spec.id), text, index, [this, write](const StoreReply& reply) {
        if (reply.status == StoreStatus::Ok)
            return finish(write, write->record);
        if (reply.status == StoreStatus::Conflict)
            return attempt(write);
        retryLater(write);
    });
}

void JobRecords::retryLater(const WritePtr& write)
{
    write->isInFlight = false;
    write->nextTry = m_clock.now() + retryDelay;
    if (write->nextTry > write->deadline)
        finish(write, storeUnavailable());
}

void JobRecords::finish(const WritePtr& write, Result<JobRecord> result)
{
    m_writes.remove(write);
    write->callback(std::move(result));
}

void JobRecords::read(const std::string& id, CreateCallback callback)
{
    m_store.get(jobKey(id), [id, callback = std::move(callback)](const StoreReply& reply) mutable {
        if (reply.status == StoreStatus::Unavailable)
            return callback(
                Error { ErrorKind::StoreUnavailable, "The store did not respond.", "Send the request again later." });
        if (reply.entries.empty())
            return callback(Error { ErrorKind::UnknownJob, absl::StrCat("There is no job ", id, "."),
                "Check the id; records of ended jobs are removed after a retention period." });
        callback(decodeRecord(reply.entries[0].value));
    });
}

void JobRecords::list(uint32_t partition, ListCallback callback)
{
    m_store.list(jobPrefix(partition), [callback = std::move(callback)](const StoreReply& reply) mutable {
        if (reply.status == StoreStatus::Unavailable)
            return callback(Error {
                ErrorKind::StoreUnavailable, "The store did not respond.", "The request is retried automatically." });
        std::vector<JobRecord> records;
        for (const StoreEntry& entry : reply.entries) {
            if (auto record = decodeRecord(entry.value))
                records.push_back(std::move(record.value()));
        }
        callback(std::move(records));
    });
}

void JobRecords::remove(const std::string& id)
{
    m_store.get(jobKey(id), [this, id](const StoreReply& reply) {
        if (!reply.entries.empty())
            m_store.remove(jobKey(id), reply.entries[0].index, [](const StoreReply&) {});
    });
}

void JobRecords::tick(Instant now)
{
    const auto writes = m_writes;
    for (const WritePtr& write : writes) {
        if (!write->isInFlight && now >= write->nextTry)
            attempt(write);
    }
}

} // namespace cicada

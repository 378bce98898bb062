#pragma once

/** \file
 * A bounded queue between threads. A full buffer is reported to the producer, which applies back pressure to its own
 * caller; nothing is ever dropped silently.
 */

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace cicada {

/** A fixed-capacity first-in first-out queue. Thread-safe for any number of producers and consumers. */
template <typename T> class RingBuffer {
public:
    /** `capacity` is the maximum number of items and must be positive. Memory grows with use up to it. */
    explicit RingBuffer(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** Adds an item; false when the buffer is full or closed. */
    bool push(T&& item) { return tryPush(item); }

    /** Moves `item` into the buffer; false when the buffer is full or closed, and then `item` is unchanged. */
    bool tryPush(T& item)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_closed || m_size == m_capacity)
            return false;
        if (m_size == m_items.size())
            grow();
        m_items[(m_head + m_size) % m_items.size()] = std::move(item);
        ++m_size;
        m_ready.Signal();
        return true;
    }

    /** Takes the oldest item, waiting at most `timeout`; empty on timeout, or when closed and drained. */
    std::optional<T> pop(absl::Duration timeout)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_size == 0 && !m_closed && timeout > absl::ZeroDuration())
            m_ready.WaitWithTimeout(&m_mutex, timeout);
        if (m_size == 0)
            return std::nullopt;
        std::optional<T> item(std::move(m_items[m_head]));
        m_head = (m_head + 1) % m_items.size();
        --m_size;
        return item;
    }

    /** Rejects further items and wakes every waiting consumer. Items already in the buffer can still be taken. */
    void close()
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = true;
        m_ready.SignalAll();
    }

    bool closed() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_closed;
    }

    size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_size;
    }

private:
    void grow() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        std::vector<T> larger(std::min(m_capacity, std::max<size_t>(16, m_items.size() * 2)));
        for (size_t i = 0; i < m_size; ++i)
            larger[i] = std::move(m_items[(m_head + i) % m_items.size()]);
        m_items = std::move(larger);
        m_head = 0;
    }

    const size_t m_capacity;
    mutable absl::Mutex m_mutex;
    absl::CondVar m_ready;
    std::vector<T> m_items ABSL_GUARDED_BY(m_mutex);
    size_t m_head ABSL_GUARDED_BY(m_mutex) = 0;
    size_t m_size ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace cicada

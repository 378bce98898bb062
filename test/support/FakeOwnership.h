#pragma once

/** \file
 * An Ownership that does what the test says.
 */

#include "Ownership.h"

#include "absl/container/flat_hash_map.h"

#include <vector>

namespace cicada::Testing {

class FakeOwnership final : public Ownership {
public:
    std::optional<Term> term(absl::string_view group) const override
    {
        auto it = m_epochs.find(group);
        if (it == m_epochs.end())
            return std::nullopt;
        return Term { it->second, absl::InfiniteDuration() };
    }
    std::string owner(absl::string_view group) const override { return m_epochs.contains(group) ? "self" : ""; }
    void onChange(Observer observer) override { m_observers.push_back(std::move(observer)); }

    void gain(const std::string& group, uint64_t epoch)
    {
        m_epochs[group] = epoch;
        notify(group, epoch, true);
    }
    void lose(const std::string& group)
    {
        const uint64_t epoch = m_epochs[group];
        m_epochs.erase(group);
        notify(group, epoch, false);
    }

private:
    void notify(const std::string& group, uint64_t epoch, bool owned)
    {
        for (auto& observer : m_observers)
            observer(group, epoch, owned);
    }

    absl::flat_hash_map<std::string, uint64_t> m_epochs;
    std::vector<Observer> m_observers;
};

} // namespace cicada::Testing

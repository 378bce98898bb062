#include "BackEnds.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <tuple>

namespace cicada {

namespace {

    Resources parseCapacity(const Internal::Json& item)
    {
        Resources capacity;
        capacity.cpuMillis = Internal::integerOr<int64_t>(item, "cpuMillis", 0);
        capacity.memoryMiB = Internal::integerOr<int64_t>(item, "memoryMiB", 0);
        capacity.accelerators = Internal::integerOr<int64_t>(item, "accelerators", 0);
        return capacity;
    }

    Result<BackEnd> parseBackEnd(const Internal::Json& item)
    {
        BackEnd backEnd;
        try {
            backEnd.name = item.at("name").get<std::string>();
            backEnd.kind = item.at("kind").get<std::string>() == "worker" ? BackEndKind::Worker : BackEndKind::Executor;
            backEnd.service = item.value("service", "");
            backEnd.region = item.value("region", "");
            backEnd.failureDomain = item.value("failureDomain", "");
            backEnd.rack = item.value("rack", "");
            backEnd.slots = Internal::integerOr<uint32_t>(item, "slots", 0);
            backEnd.leaving = item.value("state", "live") != "live";
            backEnd.capacity = parseCapacity(item);
            backEnd.address = BOOST_OUTCOME_TRYX(parseEndpoint(item.at("address").get<std::string>()));
        } catch (const Internal::Json::exception& error) {
            return Error { ErrorKind::MalformedMessage, error.what(), "Correct the platform's VM list." };
        }
        return backEnd;
    }

    auto comparableFields(const BackEnd& backEnd)
    {
        return std::make_tuple(backEnd.name, backEnd.kind, backEnd.service, toString(backEnd.address), backEnd.region,
            backEnd.failureDomain, backEnd.rack, backEnd.slots, backEnd.leaving, backEnd.capacity.cpuMillis,
            backEnd.capacity.memoryMiB, backEnd.capacity.accelerators);
    }

    bool sameLists(absl::Span<const BackEnd> a, absl::Span<const BackEnd> b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](const BackEnd& x, const BackEnd& y) { return comparableFields(x) == comparableFields(y); });
    }

} // namespace

std::string BackEnd::group() const
{
    return kind == BackEndKind::Worker ? absl::StrCat("rack/", rack) : absl::StrCat("executor/", name);
}

Result<std::vector<BackEnd>> parseVmList(absl::string_view json, size_t& skipped)
{
    BOOST_OUTCOME_TRY(document, Internal::parseJson(json, "VM list", ErrorKind::MalformedMessage));
    if (!document.is_array())
        return Error { ErrorKind::MalformedMessage, "The VM list is not an array.", "Check the address of 'vmList'." };
    std::vector<BackEnd> list;
    skipped = 0;
    for (const auto& item : document) {
        auto backEnd = parseBackEnd(item);
        if (backEnd)
            list.push_back(std::move(backEnd.value()));
        else
            ++skipped;
    }
    std::sort(list.begin(), list.end(), [](const BackEnd& a, const BackEnd& b) { return a.name < b.name; });
    return list;
}

void BackEnds::update(std::vector<BackEnd> list)
{
    if (sameLists(list, m_list))
        return;
    m_list = std::move(list);
    ++m_version;
    m_byName.clear();
    for (size_t i = 0; i < m_list.size(); ++i)
        m_byName[m_list[i].name] = i;
    for (auto& observer : m_observers)
        observer();
}

const BackEnd* BackEnds::find(absl::string_view name) const
{
    auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_list[it->second];
}

bool BackEnds::hasService(absl::string_view service) const
{
    return std::any_of(
        m_list.begin(), m_list.end(), [service](const BackEnd& backEnd) { return backEnd.service == service; });
}

} // namespace cicada

#include "ServiceRegistry.h"

#include "absl/strings/str_cat.h"

namespace cicada {

ServiceRegistry::~ServiceRegistry() { stop(); }

Result<void> ServiceRegistry::add(std::unique_ptr<Service> service)
{
    if (find(service->name())) {
        return Error { ErrorKind::Internal, absl::StrCat("A service named '", service->name(), "' already exists."),
            "Give the second service another name." };
    }
    m_services.push_back(std::move(service));
    return success();
}

Result<void> ServiceRegistry::start()
{
    while (m_started < m_services.size()) {
        auto result = m_services[m_started]->start();
        if (!result) {
            stop();
            return result;
        }
        ++m_started;
    }
    return success();
}

void ServiceRegistry::stop()
{
    while (m_started > 0)
        m_services[--m_started]->stop();
}

Service* ServiceRegistry::find(absl::string_view name) const
{
    for (const auto& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

} // namespace cicada

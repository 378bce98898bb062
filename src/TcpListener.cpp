#include "TcpListener.h"

#include "absl/strings/str_cat.h"

namespace cicada::Internal {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    error_code tryToListen(tcp::acceptor& acceptor, const Endpoint& address, int backlog)
    {
        error_code error;
        const auto ip = boost::asio::ip::make_address(address.host, error);
        if (!error)
            acceptor.open(tcp::v4(), error);
        if (!error)
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(tcp::endpoint(ip, address.port), error);
        if (!error)
            acceptor.listen(backlog, error);
        return error;
    }

} // namespace

Result<ListenStatus> listenAt(tcp::acceptor& acceptor, const Endpoint& address, int backlog)
{
    const error_code error = tryToListen(acceptor, address, backlog);
    if (!error)
        return ListenStatus::Listening;
    error_code ignored;
    acceptor.close(ignored);
    if (error == boost::asio::error::address_in_use)
        return ListenStatus::AddressInUse;
    return Error { ErrorKind::InvalidSettings,
        absl::StrCat("Can't listen at ", address.host, ":", address.port, ": ", error.message(), "."),
        "Check that the address belongs to this machine." };
}

} // namespace cicada::Internal

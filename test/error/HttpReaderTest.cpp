/** \file
 * The reader of callers' requests on input that is split anywhere, mutated or cut short.
 */

#include "HttpServer.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <random>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::platform;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

const std::string plain = "POST /q/1?a=b HTTP/1.1\r\nHost: h.example:80\r\nAuthorization: Bearer key\r\n"
                          "Content-Length: 5\r\n\r\nhello";
const std::string chunked = "POST /q/2 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: 1\r\n\r\n";
const std::string get = "GET /q/3 HTTP/1.1\r\nHost: h.example\r\nCicadaspread-Deadline-Ms: 3000\r\n\r\n";

} // namespace

/** A server with low limits, and callers that write to it from the same thread. */
TEST_GROUP(HttpReader)
{
    boost::asio::io_context io { 1 };
    std::vector<HttpRequest> requests;
    std::vector<HttpRejection> rejections;
    std::vector<HttpResponder> unanswered;
    bool answers = true;
    uint16_t port = 0;
    std::unique_ptr<HttpServer> server;

    void setup() override
    {
        HttpLimits limits;
        limits.maxConnections = 64;
        limits.maxBodyBytes = 4000;
        limits.maxUnparsedBytes = 1000;
        limits.maxKeptBytes = 12000;
        server = std::make_unique<HttpServer>(
            io, limits,
            [this](HttpRequest request, HttpResponder respond) {
                requests.push_back(std::move(request));
                if (answers)
                    respond({});
                else
                    unanswered.push_back(std::move(respond));
            },
            [this](HttpRejection why) { rejections.push_back(why); });
        port = freePort();
        CHECK(server->listen({ "127.0.0.1", port }).has_value());
    }
    uint16_t freePort()
    {
        const tcp::acceptor probe(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return probe.local_endpoint().port();
    }
    void turn()
    {
        io.restart();
        while (io.poll() > 0) { }
    }
    tcp::socket connect()
    {
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
        turn();
        return socket;
    }
    void send(tcp::socket & socket, const std::string& bytes)
    {
        error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        turn();
    }
};

TEST(HttpReader, requestsThatAreSplitAnywhereAreReadWhole)
{
    const std::string all = plain + chunked + get;
    for (size_t split = 1; split < all.size(); ++split) {
        requests.clear();
        tcp::socket socket = connect();
        send(socket, all.substr(0, split));
        send(socket, all.substr(split));
        LONGS_EQUAL(3, requests.size());
        STRCMP_EQUAL("/q/1", requests[0].path.c_str());
        STRCMP_EQUAL("a=b", requests[0].query.c_str());
        STRCMP_EQUAL("key", requests[0].bearerToken.c_str());
        STRCMP_EQUAL("hello", requests[0].body.c_str());
        STRCMP_EQUAL("hello", requests[1].body.c_str());
        LONGS_EQUAL(3000, requests[2].callerTimeoutMillis);
    }
    CHECK(rejections.empty());
}

TEST(HttpReader, mutatedRequestsNeverEndTheProcessNorLeaveBytesBehind)
{
    std::mt19937_64 random(20261206);
    const std::string seeds[] = { plain, chunked, get };
    for (int round = 0; round < 3000; ++round) {
        std::string bytes = seeds[random() % 3] + seeds[random() % 3];
        for (size_t i = random() % 4; i > 0; --i)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        bytes.resize(1 + random() % bytes.size());
        tcp::socket socket = connect();
        const size_t split = random() % bytes.size();
        send(socket, bytes.substr(0, split));
        send(socket, bytes.substr(split));
        CHECK(server->keptBytes() <= 12000);
    }
    turn();
    LONGS_EQUAL(0, server->keptBytes());
    LONGS_EQUAL(0, server->connections());
}

TEST(HttpReader, bodiesAndTrailersBeyondTheirLimitsAreRefused)
{
    tcp::socket largeBody = connect();
    send(largeBody, "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 4001\r\n\r\n");
    tcp::socket trailers = connect();
    send(trailers,
        absl::StrCat("POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", std::string(2000, 'x')));
    LONGS_EQUAL(2, rejections.size());
    CHECK(rejections[0] == HttpRejection::TooLarge);
    CHECK(rejections[1] == HttpRejection::TooLarge);
    CHECK(requests.empty());
}

TEST(HttpReader, theLargestUnfinishedRequestGoesFirstWhenAllTogetherAreTooLarge)
{
    const auto begin = [](size_t length, size_t sent) {
        return absl::StrCat(
            "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: ", length, "\r\n\r\n", std::string(sent, 'x'));
    };
    std::vector<tcp::socket> large;
    for (int i = 0; i < 2; ++i) {
        large.push_back(connect());
        send(large.back(), begin(4000, 3900));
    }
    tcp::socket ordinary = connect();
    send(ordinary, begin(500, 400));
    for (int i = 0; i < 3; ++i) {
        large.push_back(connect());
        send(large.back(), begin(4000, 3900));
    }
    CHECK(!rejections.empty());
    CHECK(server->keptBytes() <= 12000);
    send(ordinary, std::string(100, 'x'));
    LONGS_EQUAL(1, requests.size());
    LONGS_EQUAL(500, requests[0].body.size());
}

TEST(HttpReader, aRequestThatFindsNoMemoryIsRefusedBeforeItIsHandedOn)
{
    answers = false;
    const std::string request
        = absl::StrCat("POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n", std::string(3000, 'x'));
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 6; ++i) {
        sockets.push_back(connect());
        send(sockets.back(), request);
    }
    CHECK(requests.size() < 6);
    CHECK(!rejections.empty());
    CHECK(rejections.back() == HttpRejection::OutOfMemory);
    for (HttpResponder& respond : unanswered)
        respond({});
    turn();
    LONGS_EQUAL(0, server->inFlight());
}

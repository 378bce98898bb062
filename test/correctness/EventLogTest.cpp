/** \file
 * What a reader of the log gets.
 */

#include "EventLog.h"

#include "CppUTest/TestHarness.h"

#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace cicada;

TEST_GROUP(EventLogging) {};

TEST(EventLogging, everyLineArrivesInWritesThatAReaderTakesWhole)
{
    // Some readers take no more than this of one write.
    constexpr size_t maxWriteBytes = 8192;
    constexpr int lines = 1000;
    int ends[2] = {};
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends));
    EventLog log("entry", ends[1]);
    for (int i = 0; i < lines; ++i)
        log.write("run-ordered", "run", "00000000000000a1.0.0.1#1", "worker", "i-7f3a91c2", "number", i);
    CHECK(log.start().has_value());
    int seen = 0;
    std::string buffer(1 << 20, '\0');
    while (seen < lines) {
        const ssize_t size = recv(ends[0], buffer.data(), buffer.size(), 0);
        CHECK(size > 0 && static_cast<size_t>(size) <= maxWriteBytes);
        if (size <= 0)
            break;
        for (ssize_t i = 0; i < size; ++i)
            seen += buffer[static_cast<size_t>(i)] == '\n' ? 1 : 0;
    }
    CHECK_EQUAL(lines, seen);
    log.stop();
    close(ends[0]);
    close(ends[1]);
}

/** \file
 * Frames come out of the decoder as they went in, however the stream cuts them.
 */

#include "Wire.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(Wire) {};

TEST(Wire, framesSurviveAnyCut)
{
    const std::string stream = encodeFrame({ "a", "load", std::string("\0\1\2", 3) }) + encodeFrame({ "b", "x", "" });
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        FrameDecoder decoder;
        std::vector<Frame> frames;
        for (const auto& part : { stream.substr(0, cut), stream.substr(cut) }) {
            decoder.append(part);
            for (auto frame = decoder.next(); frame.value(); frame = decoder.next())
                frames.push_back(*frame.value());
        }
        LONGS_EQUAL(2, frames.size());
        CHECK(frames[0].payload == std::string("\0\1\2", 3));
        CHECK(frames[1].from == "b");
    }
}

TEST(Wire, anOverlongFrameIsATypedError)
{
    FrameDecoder decoder;
    decoder.append("\xff\xff\xff\xff");
    CHECK(decoder.next().error().kind == ErrorKind::MalformedMessage);
}

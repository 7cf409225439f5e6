#include <catch2/catch.hpp>
#include <string>

#include "LibHttp/tunnel_frames.h"

namespace wasabi::http {
namespace {

struct FramesCase {
  const char* what;
  std::string received;
  std::string output;
  bool has_ended;
};

TEST_CASE("frames are decoded however they are split") {
  const std::string large(70'000, 'x');
  const FramesCase cases[] = {
      {"nothing", "", "", false},
      {"a part of a length", std::string(3, '\0'), "", false},
      {"an end", EncodeTunnelEnd(), "", true},
      {"one frame", EncodeTunnelFrame("ab"), "ab", false},
      {"a part of a frame", EncodeTunnelFrame("abc").substr(0, 6), "ab", false},
      {"frames without an end",
       EncodeTunnelFrame("ab") + EncodeTunnelFrame("c"), "abc", false},
      {"frames and an end",
       EncodeTunnelFrame("ab") + EncodeTunnelFrame("c") + EncodeTunnelEnd(),
       "abc", true},
      {"bytes after the end", EncodeTunnelEnd() + EncodeTunnelFrame("ab"), "",
       true},
      {"bytes that look like an end", EncodeTunnelFrame(std::string(8, '\0')),
       std::string(8, '\0'), false},
      {"a length of several bytes",
       EncodeTunnelFrame(large) + EncodeTunnelEnd(), large, true},
  };
  for (const FramesCase& row : cases) {
    for (const size_t piece : {1U, 2U, 3U, 5U, 100'000U}) {
      INFO(row.what << ", in pieces of " << piece);
      TunnelFrameDecoder decoder;
      std::string output;
      for (size_t i = 0; i < row.received.size(); i += piece) {
        decoder.Feed(std::string_view(row.received).substr(i, piece), &output);
      }
      CHECK((output == row.output));
      CHECK(decoder.has_ended() == row.has_ended);
    }
  }
}

}  // namespace
}  // namespace wasabi::http

#include "Services/Router/engine_stream_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::router {
namespace {

using core::ResultCode;

std::string Chunk(const std::string& id, int index, bool is_finish = false) {
  return "data: {\"id\":\"" + id + "\",\"index\":" + std::to_string(index) +
         ",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":" +
         (is_finish ? "\"stop\"" : "null") + "}]}\n\n";
}

struct Case {
  const char* name;
  std::string stream;
  ResultCode code;
  bool is_whole;
  size_t chunks;
};

TEST_CASE("the parser validates each chunk of an answer") {
  const std::string end = "data: [DONE]\n\n";
  const Case it = GENERATE_COPY(
      Case{"whole", Chunk("r", 0) + Chunk("r", 1, true) + end, ResultCode::kOk,
           true, 2},
      Case{"no end marker", Chunk("r", 0) + Chunk("r", 1, true),
           ResultCode::kOk, false, 2},
      Case{"no finish chunk", Chunk("r", 0) + end, ResultCode::kOk, false, 1},
      Case{"repeated chunk", Chunk("r", 0) + Chunk("r", 0) + Chunk("r", 1),
           ResultCode::kOk, false, 2},
      Case{"missing chunk", Chunk("r", 0) + Chunk("r", 2),
           ResultCode::kAnswerTruncated, false, 1},
      Case{"foreign chunk", Chunk("r", 0) + Chunk("s", 1),
           ResultCode::kMismatchedAnswer, false, 1},
      Case{"data after the end", Chunk("r", 0, true) + end + Chunk("r", 1),
           ResultCode::kMismatchedAnswer, true, 1},
      Case{"error event", "data: {\"error\":{}}\n\n",
           ResultCode::kAnswerTruncated, false, 0},
      Case{"no JSON", "data: {\n\n", ResultCode::kAnswerTruncated, false, 0},
      Case{"comment lines", ": ping\n\n" + Chunk("r", 0), ResultCode::kOk,
           false, 1});
  INFO(it.name);
  // The result must not depend on how the stream is split into pieces.
  const size_t piece_size = GENERATE(1U, 7U, 4096U);
  std::vector<uint32_t> indices;
  EngineStreamParser parser(
      "r", 0, true,
      [&](uint32_t index, std::string_view) { indices.push_back(index); });
  absl::Status status;
  for (size_t i = 0; i < it.stream.size() && status.ok(); i += piece_size) {
    status = parser.Feed(std::string_view(it.stream).substr(i, piece_size));
  }
  CHECK(core::CodeOf(status) == it.code);
  CHECK(parser.is_whole() == it.is_whole);
  CHECK(indices.size() == it.chunks);
}

TEST_CASE("a resumed answer starts at its offset and skips earlier chunks") {
  std::vector<uint32_t> indices;
  EngineStreamParser parser(
      "r", 5, true,
      [&](uint32_t index, std::string_view) { indices.push_back(index); });
  REQUIRE(parser.Feed(Chunk("r", 4) + Chunk("r", 5) + Chunk("r", 6)).ok());
  CHECK(indices == std::vector<uint32_t>{5, 6});
}

struct EndlessCase {
  const char* name;
  // Sent again and again after the first chunk.
  std::string piece;
};

TEST_CASE("an engine that sends bytes without end is cut off") {
  const EndlessCase it = GENERATE_COPY(
      EndlessCase{"no events", "junk"}, EndlessCase{"comments", ": ping\n\n"},
      EndlessCase{"one chunk again and again", Chunk("r", 0)});
  INFO(it.name);
  EngineStreamParser parser("r", 0, true, [](uint32_t, std::string_view) {});
  REQUIRE(parser.Feed(Chunk("r", 0)).ok());
  constexpr size_t kMaxBytes = 2U << 20U;
  absl::Status status;
  for (size_t n = 0; n < kMaxBytes && status.ok(); n += it.piece.size()) {
    status = parser.Feed(it.piece);
  }
  CHECK(core::CodeOf(status) == ResultCode::kAnswerTruncated);
}

}  // namespace
}  // namespace wasabi::router

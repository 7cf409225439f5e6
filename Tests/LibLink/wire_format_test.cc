#include "LibLink/wire_format.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::link {
namespace {

absl::Status RoundTrip(const absl::Status& status) {
  StatusReader reader;
  for (const HeaderField& it : StatusToTrailers(status)) {
    reader.AddField(it.name, it.value);
  }
  return reader.Status();
}

TEST_CASE("a status survives the encoding in trailers") {
  const absl::Status status =
      GENERATE(absl::OkStatus(),
               core::MakeStatus(core::ResultCode::kWrongOwner,
                                "100 % a line\nand a \x01 sign: é"),
               core::MakeRefusal(core::ResultCode::kOverloaded, "full",
                                 core::milliseconds(1250)));
  const absl::Status copy = RoundTrip(status);
  CHECK(core::CodeOf(copy) == core::CodeOf(status));
  CHECK(core::MessageOf(copy) == core::MessageOf(status));
  CHECK(core::RetryAfterOf(copy) == core::RetryAfterOf(status));
}

TEST_CASE("a missing or unknown status code is an error") {
  const std::string code = GENERATE("", "12", "99999999999", "x");
  StatusReader reader;
  reader.AddField(kCodeTrailer, code);
  CHECK(core::CodeOf(reader.Status()) == core::ResultCode::kMalformedMessage);
}

TEST_CASE("messages are decoded for any fragmentation of the stream") {
  const auto seed = GENERATE(range(uint64_t{1}, uint64_t{50}));
  core::RandomSource random(seed);
  std::vector<std::string> sent;
  std::string stream;
  for (int i = 0; i < 50; ++i) {
    sent.emplace_back(random.Below(300), static_cast<char>('a' + i % 26));
    AppendFramed(sent.back(), &stream);
  }
  std::vector<std::string> received;
  MessageReader reader(300);
  for (size_t offset = 0; offset < stream.size();) {
    const size_t n = 1 + random.Below(400);
    REQUIRE(reader.Feed(
        std::string_view(stream).substr(offset, n),
        [&](std::string_view message) { received.emplace_back(message); }));
    offset += n;
  }
  CHECK(received == sent);
  CHECK(reader.AtBoundary());
}

TEST_CASE("a length above the limit is rejected before buffering") {
  MessageReader reader(10);
  CHECK_FALSE(reader.Feed(std::string("\x7f\xff\xff\xff", 4),
                          [](std::string_view) { FAIL(); }));
}

}  // namespace
}  // namespace wasabi::link

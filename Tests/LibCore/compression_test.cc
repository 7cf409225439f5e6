#include "LibCore/compression.h"

#include <catch2/catch.hpp>
#include <string>

namespace wasabi::core {
namespace {

constexpr size_t kRoom = 100000;

TEST_CASE("decompression restores the original bytes") {
  const std::string texts[] = {"", "a", std::string(50000, 'x'),
                               std::string("\0\xff", 2)};
  for (const std::string& text : texts) {
    const auto back = Decompress(Compress(text), kRoom);
    REQUIRE(back.ok());
    CHECK(*back == text);
  }
  CHECK(Compress(std::string(50000, 'x')).size() < 1000);
}

TEST_CASE("invalid or oversized compressed bytes are rejected") {
  std::string cut = Compress(std::string(5000, 'x'));
  cut.resize(cut.size() - 3);
  const std::string bad[] = {"", "abc", "abcdefgh", std::string(8, '\xff'),
                             cut};
  for (const std::string& text : bad) {
    CHECK_FALSE(Decompress(text, kRoom).ok());
  }
  CHECK_FALSE(Decompress(Compress(std::string(50000, 'x')), 100).ok());
}

}  // namespace
}  // namespace wasabi::core

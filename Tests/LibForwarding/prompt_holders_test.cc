#include "LibForwarding/prompt_holders.h"

#include <catch2/catch.hpp>
#include <vector>

namespace wasabi::forwarding {
namespace {

using core::RunnerId;
using core::seconds;
using Ids = std::vector<RunnerId>;

const RunnerId kFirst("e1");
const RunnerId kSecond("e2");
const RunnerId kThird("e3");
constexpr uint64_t kPrompt = 7;
constexpr core::TimePoint kStart{seconds(5)};

TEST_CASE("the endpoint that served a prompt last comes first") {
  PromptHolders holders;
  holders.RecordServed(kPrompt, kFirst, kStart);
  holders.RecordServed(kPrompt, kSecond, kStart);
  CHECK(holders.Of(kPrompt, kStart) == Ids{kSecond, kFirst});
  holders.RecordServed(kPrompt, kFirst, kStart);
  CHECK(holders.Of(kPrompt, kStart) == Ids{kFirst, kSecond});
  CHECK(holders.Of(kPrompt + 1, kStart).empty());
}

TEST_CASE("endpoints that served a prompt long ago are not listed") {
  PromptHolders holders;
  holders.RecordServed(kPrompt, kFirst, kStart);
  holders.RecordServed(kPrompt, kSecond, kStart + seconds(20));
  CHECK(holders.Of(kPrompt, kStart + seconds(31)) == Ids{kSecond});
  CHECK(holders.Of(kPrompt, kStart + seconds(51)).empty());
}

TEST_CASE("a restarted endpoint is not listed") {
  PromptHolders holders;
  holders.RecordServed(kPrompt, kFirst, kStart);
  holders.RecordServed(kPrompt, kSecond, kStart);
  holders.ForgetEndpoint(kSecond);
  CHECK(holders.Of(kPrompt, kStart) == Ids{kFirst});
}

TEST_CASE("the number of remembered prompts is bounded") {
  constexpr uint64_t kMany = 100000;
  PromptHolders holders;
  for (uint64_t i = 0; i < kMany; ++i) {
    holders.RecordServed(i, kThird, kStart);
  }
  size_t known = 0;
  for (uint64_t i = 0; i < kMany; ++i) {
    known += holders.Of(i, kStart).size();
  }
  CHECK(known <= 8192);
  CHECK(holders.Of(kMany - 1, kStart) == Ids{kThird});
}

}  // namespace
}  // namespace wasabi::forwarding

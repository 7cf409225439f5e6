// Replays long prompts that share most of their tokens beside short ones, in a
// pool whose endpoints cache and copy shared parts.

#include <catch2/catch.hpp>
#include <string>
#include <tuple>

#include "LibCore/text.h"
#include "LibForwarding/long_prompts.h"
#include "Tests/LibForwarding/pace_replay.h"

namespace wasabi::forwarding {
namespace {

constexpr double kMaxShortFirstEventMs = 250;
constexpr double kMaxLongFirstEventMs = 1000;

PaceLoad CalmLoad() {
  return {.burst = 1,
          .slow_share = 0,
          .long_share = 0.1,
          .places_long_prompts = true,
          .copies_shared_parts = true};
}

std::string Describe(const char* what, const PaceResult& result) {
  return fmt::format(
      "{}: tokens copied {}, read again {}, of leaving prompts {}; first "
      "events p95 chat {:.0f} ms, tags {:.0f} ms, long {:.0f} ms\n",
      what, result.copied_tokens, result.read_again_tokens,
      result.leaving_tokens, result.kinds[kChat].FirstEvent(0.95),
      result.kinds[kTags].FirstEvent(0.95),
      result.kinds[kLong].FirstEvent(0.95));
}

// Guards against long prompts that leave the endpoint of a shared part of
// 10,500 tokens for fewer tokens of their own: the copies take links and
// memory, and no first event keeps its objective for it.
TEST_CASE("long prompts are not copied for less than they prefill") {
  const uint64_t seed = GENERATE(1, 2, 3);
  PaceLoad load = CalmLoad();
  const PaceResult now = ReplayPace(load, seed);
  load.ignores_shared_parts = true;
  const PaceResult before = ReplayPace(load, seed);
  load.places_long_prompts = false;
  const PaceResult unplaced = ReplayPace(load, seed);
  INFO("seed " << seed << "\n"
               << Describe("not placed", unplaced)
               << Describe("by own part", before) << Describe("now", now));
  CHECK(now.copied_tokens < before.copied_tokens);
  CHECK(now.copied_tokens <= unplaced.copied_tokens + now.leaving_tokens);
  CHECK(now.kinds[kChat].FirstEvent(0.95) <= kMaxShortFirstEventMs);
  CHECK(now.kinds[kTags].FirstEvent(0.95) <= kMaxShortFirstEventMs);
  CHECK(now.kinds[kLong].FirstEvent(0.95) <= kMaxLongFirstEventMs);
}

TEST_CASE("a prompt is placed by what it prefills and what is copied") {
  const std::tuple<uint32_t, uint32_t, PromptPlacement> cases[] = {
      {130, 700, PromptPlacement::kShort},
      {4095, 0, PromptPlacement::kShort},
      {4096, 0, PromptPlacement::kLong},
      {10'000, 500, PromptPlacement::kLong},
      {1300, 10'500, PromptPlacement::kAtSharedPart},
      {5000, 10'500, PromptPlacement::kAtSharedPart},
      {10'500, 10'500, PromptPlacement::kAtSharedPart},
      {11'000, 10'500, PromptPlacement::kLong},
  };
  for (const auto& [own, shared, placement] : cases) {
    INFO(own << " of its own, " << shared << " shared");
    CHECK(PlacementOf(own, shared) == placement);
  }
}

}  // namespace
}  // namespace wasabi::forwarding

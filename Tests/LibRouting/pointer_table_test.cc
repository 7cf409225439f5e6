#include "LibRouting/pointer_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <optional>
#include <string>

#include "LibCore/random_source.h"

namespace wasabi::routing {
namespace {

using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
constexpr core::Duration kLifetime = seconds(20);
constexpr size_t kCapacity = 6;

// A straightforward implementation of the table with linear searches, which
// serves as the reference.
class ReferenceTable {
 public:
  void Set(uint64_t chat, uint64_t target, core::TimePoint now) {
    Expire(now);
    Erase(chat);
    if (entries_.size() == kCapacity) {
      entries_.pop_front();
    }
    entries_.push_back({chat, target, now + kLifetime});
  }
  std::optional<uint64_t> FindAndRenew(uint64_t chat, core::TimePoint now) {
    Expire(now);
    for (const Entry it : entries_) {
      if (it.chat == chat) {
        Set(chat, it.target, now);
        return it.target;
      }
    }
    return std::nullopt;
  }
  void Erase(uint64_t chat) {
    entries_.remove_if([&](const Entry& it) { return it.chat == chat; });
  }
  void EraseTarget(uint64_t target) {
    entries_.remove_if([&](const Entry& it) { return it.target == target; });
  }
  void Expire(core::TimePoint now) {
    entries_.remove_if([&](const Entry& it) { return it.expiry <= now; });
  }
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    uint64_t chat;
    uint64_t target;
    core::TimePoint expiry;
  };
  std::list<Entry> entries_;
};

TEST_CASE("the table behaves like the reference implementation") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    CAPTURE(seed);
    core::RandomSource random(seed);
    PointerTable table(kLifetime, kCapacity);
    ReferenceTable reference;
    core::TimePoint now = kStart;
    for (int i = 0; i < 100; ++i) {
      now += seconds(random.Below(4));
      const uint64_t chat = random.Below(10);
      const uint64_t target = random.Below(4);
      const core::ChatKey chat_key(std::to_string(chat));
      const core::RunnerId runner(std::to_string(target));
      switch (random.Below(8)) {
        case 0:
          table.Erase(chat_key);
          reference.Erase(chat);
          break;
        case 1:
          table.EraseTarget(runner);
          reference.EraseTarget(target);
          break;
        case 2:
        case 3:
        case 4:
          table.Set(chat_key, runner, now);
          reference.Set(chat, target, now);
          break;
        default: {
          const auto used = table.FindAndRenew(chat_key, now);
          const auto expected = reference.FindAndRenew(chat, now);
          REQUIRE(used.has_value() == expected.has_value());
          if (used.has_value()) {
            REQUIRE(used->value() == std::to_string(*expected));
          }
        }
      }
      REQUIRE(table.size() <= kCapacity);
    }
    table.Expire(now);
    reference.Expire(now);
    REQUIRE(table.size() == reference.size());
  }
}

}  // namespace
}  // namespace wasabi::routing

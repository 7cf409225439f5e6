// Guards against a resumed stream whose version is derived from registrations
// that are older than the stream, and against a read for each stream.

#include "LibForwarding/origin_confirmation.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;

constexpr core::Duration kTick = milliseconds(10);
constexpr core::Duration kMaxWait = milliseconds(220);

// One host in virtual time, whose reads take as long as a test says.
class Host {
 public:
  explicit Host(std::optional<core::Duration> read_time, bool is_complete)
      : read_time_(read_time),
        is_complete_(is_complete),
        confirmation_([this](OriginConfirmation::ReadCallback callback) {
          if (read_time_) {
            reads_.push_back({now_ + *read_time_, std::move(callback)});
          }
        }) {}

  // Returns the index of the outcome.
  size_t Ask() { return AskFor(now_); }
  size_t AskFor(core::TimePoint received_at) {
    outcomes_.emplace_back();
    confirmation_.Confirm(received_at, now_,
                          [this, i = outcomes_.size() - 1](bool is_confirmed) {
                            CHECK_FALSE(outcomes_[i].has_value());
                            outcomes_[i] = is_confirmed;
                          });
    return outcomes_.size() - 1;
  }
  void Run(core::Duration duration) {
    for (const core::TimePoint end = now_ + duration; now_ < end;) {
      now_ += kTick;
      std::vector<Read> pending;
      std::swap(pending, reads_);
      for (Read& it : pending) {
        if (now_ >= it.ends_at) {
          it.callback(is_complete_);
        } else {
          reads_.push_back(std::move(it));
        }
      }
      confirmation_.Tick(now_);
    }
  }
  std::optional<bool> Outcome(size_t i) const { return outcomes_[i]; }
  uint64_t reads() const { return confirmation_.reads(); }
  core::TimePoint now() const { return now_; }

 private:
  struct Read {
    core::TimePoint ends_at;
    OriginConfirmation::ReadCallback callback;
  };

  const std::optional<core::Duration> read_time_;
  const bool is_complete_;
  core::TimePoint now_ = core::TimePoint() + core::seconds(100);
  std::vector<Read> reads_;
  std::vector<std::optional<bool>> outcomes_;
  OriginConfirmation confirmation_;
};

struct OutcomeCase {
  const char* what;
  // nullopt if reads never end.
  std::optional<core::Duration> read_time;
  bool is_complete;
  bool is_confirmed;
};

TEST_CASE("a history is confirmed only by a read") {
  const OutcomeCase cases[] = {
      {"a read", milliseconds(20), true, true},
      {"the platform refuses", milliseconds(20), false, false},
      {"a slow read", milliseconds(400), true, false},
      {"no answer", std::nullopt, true, false},
  };
  for (const OutcomeCase& row : cases) {
    INFO(row.what);
    Host host(row.read_time, row.is_complete);
    const size_t i = host.Ask();
    host.Run(kMaxWait);
    REQUIRE(host.Outcome(i).has_value());
    CHECK(*host.Outcome(i) == row.is_confirmed);
  }
}

TEST_CASE("a read that started before the request does not confirm it") {
  Host host(milliseconds(60), true);
  const size_t early = host.Ask();
  host.Run(milliseconds(50));
  const size_t late = host.Ask();
  host.Run(milliseconds(10));
  CHECK(host.Outcome(early) == true);
  CHECK_FALSE(host.Outcome(late).has_value());
  host.Run(milliseconds(200));
  CHECK(host.Outcome(late) == true);
  CHECK(host.reads() == 2);
}

TEST_CASE("a read that started after the request confirms it at once") {
  Host host(milliseconds(20), true);
  const core::TimePoint received_at = host.now();
  host.Run(milliseconds(50));
  host.Ask();
  host.Run(milliseconds(50));
  CHECK(host.Outcome(host.AskFor(received_at)) == true);
  CHECK(host.reads() == 1);
}

TEST_CASE("an answer to a read that was given up confirms nothing") {
  Host host(milliseconds(650), true);
  host.Ask();
  host.Run(milliseconds(620));
  const size_t late = host.Ask();
  host.Run(milliseconds(60));
  CHECK_FALSE(host.Outcome(late).has_value());
}

TEST_CASE("many resumed streams share their reads") {
  constexpr int kStreams = 1000;
  constexpr uint64_t kMaxReadsPerSecond = 10;
  Host host(milliseconds(20), true);
  size_t confirmed = 0;
  for (int i = 0; i < kStreams; ++i) {
    host.Ask();
    if (i % 10 == 9) {
      host.Run(kTick);
    }
  }
  host.Run(kMaxWait);
  for (int i = 0; i < kStreams; ++i) {
    confirmed += host.Outcome(static_cast<size_t>(i)) == true ? 1 : 0;
  }
  CHECK(confirmed == kStreams);
  CHECK(host.reads() <= kMaxReadsPerSecond + 2);
}

}  // namespace
}  // namespace wasabi::forwarding

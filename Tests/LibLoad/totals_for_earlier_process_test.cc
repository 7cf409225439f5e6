// Guards against totals that answer a report of a host's previous process, and
// include its demand, and are taken for the answer to a report of the present
// one.

#include <catch2/catch.hpp>
#include <optional>

#include "LibLoad/pool_load_exchange.h"
#include "LibLoad/pool_load_message.h"

namespace wasabi::load {
namespace {

using membership::ApplicationKind;
using membership::Member;
using routing::PoolDemand;

constexpr core::TimePoint kStart{core::seconds(100)};
constexpr uint32_t kNextProcess = 1'000'000;
constexpr PoolDemand kBefore{.runners = 1, .requests = 10, .tokens = 100};
constexpr PoolDemand kRestarted{.runners = 1, .requests = 1, .tokens = 10};
constexpr PoolDemand kOthers{.runners = 2, .requests = 5, .tokens = 50};

const core::PoolId kPool("p");

Member Aggregator() {
  Member member;
  member.id = core::HostId("h1");
  member.data_centre = core::DataCentreId("z1");
  return member;
}

// A process of the host "h0" that has sent its first report.
class Process {
 public:
  Process(uint32_t first_sequence, const PoolDemand& demand)
      : exchange_({.self = core::HostId("h0"),
                   .data_centre = core::DataCentreId("z1"),
                   .first_sequence = first_sequence},
                  [this](const core::HostId& /*to*/,
                         ApplicationKind kind,
                         std::string_view body) {
                    if (kind == ApplicationKind::kPoolReport) {
                      sequence_ = core::Decode<PoolReport>(body)->sequence;
                    }
                  }) {
    exchange_.SetLocalDemand(kPool, demand);
    exchange_.Tick(membership::MemberTable({Aggregator()}), kStart);
  }

  uint32_t sequence() const { return sequence_.value_or(0); }
  void Receive(const PoolTotals& totals) {
    CHECK(exchange_
              .OnDatagram(Aggregator(), ApplicationKind::kPoolTotals,
                          core::Encode(totals), kStart)
              .ok());
  }
  PoolDemand total() const { return exchange_.Total(kPool, kStart); }

 private:
  std::optional<uint32_t> sequence_;
  PoolLoadExchange exchange_;
};

TEST_CASE("totals for a host's previous process do not count") {
  const Process before(0, kBefore);
  REQUIRE(before.sequence() != 0);
  Process restarted(kNextProcess, kRestarted);
  restarted.Receive({before.sequence(), {{kPool, kBefore + kOthers}}});
  CHECK(restarted.total() == kRestarted);
  restarted.Receive({restarted.sequence(), {{kPool, kRestarted + kOthers}}});
  CHECK(restarted.total() == kRestarted + kOthers);
  restarted.Receive({before.sequence(), {{kPool, kBefore + kOthers}}});
  CHECK(restarted.total() == kRestarted + kOthers);
}

}  // namespace
}  // namespace wasabi::load

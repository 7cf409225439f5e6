// Tests how aggregators have reports of endpoint pace spread by other hosts,
// and that builds which cannot do so still read and hear them.

#include "LibForwarding/pace_exchange.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibForwarding/endpoint_counts.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(1000)};
constexpr size_t kHosts = 30;
constexpr core::Duration kTick = milliseconds(10);
const core::RunnerId kEndpoint("e1");

// The message as builds before PacePurpose define it.
struct EarlierPaceReports {
  std::vector<PaceReport> paces;

  MSGPACK_DEFINE(paces);
};

std::string Bytes(std::initializer_list<unsigned char> bytes) {
  return {bytes.begin(), bytes.end()};
}

core::HostId HostOf(size_t i) {
  return core::HostId(fmt::format("h{}", i));
}

// One data centre: hosts 0 to 2 are its aggregators.
class DataCentre {
 public:
  struct Sent {
    size_t from = 0;
    size_t to = 0;
    std::string body;
  };

  DataCentre() {
    for (size_t i = 0; i < kHosts; ++i) {
      paces_.emplace_back(i);
    }
    for (size_t i = 0; i < kHosts; ++i) {
      exchanges_.emplace_back(
          HostOf(i), &paces_[i],
          [this, i](const std::vector<core::HostId>& to,
                    membership::ApplicationKind /*kind*/,
                    std::string_view body) { Send(i, to, body); });
      exchanges_.back().SetPeers(PeersOf(i));
    }
  }

  // Hosts from this one on run an earlier build.
  void SetFirstEarlierBuild(size_t first) { first_earlier_ = first; }
  // A host receives nothing any more.
  void SetSilent(size_t host) { silent_ = host; }

  // Host `from` reports a pace, in hundredths.
  void Report(size_t from, uint32_t pace_percent) {
    const PaceReports news{.paces = {{.endpoint = EndpointKeyOf(kEndpoint),
                                      .pace_percent = pace_percent}},
                           .purpose = static_cast<uint8_t>(PacePurpose::kNews)};
    Send(from, PeersOf(from).aggregators, core::Encode(news));
  }

  void RunFor(core::Duration time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += kTick) {
      while (!queue_.empty()) {
        Deliver(queue_.front());
        queue_.pop_front();
      }
      for (PaceExchange& it : exchanges_) {
        it.Tick(now_);
      }
    }
  }

  // Returns how many hosts other than `reporter` hold the endpoint for slow.
  size_t Informed(size_t reporter) const {
    size_t n = 0;
    for (size_t i = 0; i < kHosts; ++i) {
      n += i != reporter && paces_[i].PaceOf(kEndpoint, now_) > kSlowPace;
    }
    return n;
  }
  size_t SentBy(size_t host) const {
    const auto it = sent_.find(host);
    return it == sent_.end() ? 0 : it->second;
  }
  size_t SentByAggregators() const { return SentBy(0) + SentBy(1) + SentBy(2); }
  void Deliver(const Sent& datagram) {
    if (datagram.to == silent_) {
      return;
    }
    std::string body = datagram.body;
    if (datagram.from >= first_earlier_ || datagram.to >= first_earlier_) {
      body = core::Encode(*core::Decode<EarlierPaceReports>(body));
    }
    CHECK(exchanges_[datagram.to]
              .OnReports(HostOf(datagram.from), body, now_)
              .ok());
  }
  core::TimePoint now() const { return now_; }
  const EndpointPace& paces(size_t host) const { return paces_[host]; }

 private:
  static ReportPeers PeersOf(size_t self) {
    ReportPeers peers;
    for (size_t i = 0; i < kHosts; ++i) {
      if (i != self) {
        peers.fleet.push_back(HostOf(i));
        peers.data_centre.push_back(HostOf(i));
      }
    }
    peers.aggregators = {HostOf(0), HostOf(1), HostOf(2)};
    return peers;
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            std::string_view body) {
    for (const core::HostId& it : to) {
      if (it != HostOf(from)) {
        ++sent_[from];
        queue_.push_back({.from = from,
                          .to = std::stoul(it.value().substr(1)),
                          .body = std::string(body)});
      }
    }
  }

  std::deque<EndpointPace> paces_;
  std::deque<PaceExchange> exchanges_;
  std::deque<Sent> queue_;
  std::map<size_t, size_t> sent_;
  size_t first_earlier_ = kHosts;
  size_t silent_ = kHosts;
  core::TimePoint now_ = kStart;
};

TEST_CASE(
    "pace reports of this build and of earlier ones are the same bytes "
    "but for their end") {
  const PaceReport report{
      .endpoint = 0x123456, .pace_percent = 400, .age_milliseconds = 30};
  const std::string list =
      Bytes({0x91, 0x93, 0xce, 0x00, 0x12, 0x34, 0x56, 0xcd, 0x01, 0x90, 0x1e});
  const std::string earlier = Bytes({0x91}) + list;
  CHECK(core::Encode(EarlierPaceReports{.paces = {report}}) == earlier);

  const auto read = core::Decode<PaceReports>(earlier);
  REQUIRE(read.ok());
  CHECK(read->paces == std::vector<PaceReport>{report});
  CHECK(read->purpose == static_cast<uint8_t>(PacePurpose::kNone));

  for (const PacePurpose purpose :
       {PacePurpose::kNone, PacePurpose::kNews, PacePurpose::kSpread,
        PacePurpose::kSpreadAlready}) {
    const auto n = static_cast<unsigned char>(purpose);
    const std::string now =
        core::Encode(PaceReports{.paces = {report}, .purpose = n});
    CHECK(now == Bytes({0x92}) + list + Bytes({n}));
    const auto read_earlier = core::Decode<EarlierPaceReports>(now);
    REQUIRE(read_earlier.ok());
    CHECK(read_earlier->paces == std::vector<PaceReport>{report});
  }
}

// Guards against aggregators whose traffic grows with their data centre.
TEST_CASE("one datagram of an aggregator informs its data centre") {
  DataCentre hosts;
  hosts.Report(9, 400);
  hosts.RunFor(milliseconds(300));
  CHECK(hosts.Informed(9) == kHosts - 1);
  CHECK(hosts.SentByAggregators() == 1);
  // Its news to the aggregators, and what it spread for them.
  CHECK(hosts.SentBy(9) == 3 + kHosts - 1);
}

TEST_CASE("an aggregator spreads what its relay did not") {
  DataCentre hosts;
  hosts.SetSilent(9);
  hosts.Report(9, 400);
  hosts.RunFor(milliseconds(100));
  CHECK(hosts.Informed(9) == 3);
  hosts.RunFor(milliseconds(300));
  CHECK(hosts.Informed(9) == kHosts - 1);

  SECTION("and asks that host no more") {
    const size_t before = hosts.SentByAggregators();
    hosts.Report(10, 100);
    hosts.RunFor(milliseconds(300));
    CHECK(hosts.SentByAggregators() == before + 1);
    CHECK(hosts.Informed(9) == 0);
  }
}

TEST_CASE("hosts of earlier builds hear all reports and are asked for none") {
  for (const size_t first_earlier : {0, 1, 3, 20}) {
    INFO("hosts from " << first_earlier << " on");
    DataCentre hosts;
    hosts.SetFirstEarlierBuild(first_earlier);
    hosts.Report(25, 400);
    hosts.RunFor(milliseconds(150));
    CHECK(hosts.Informed(25) == kHosts - 1);
    CHECK(hosts.SentBy(25) == 3);
  }
}

// Any other host could have one datagram multiplied by the number of hosts.
TEST_CASE("only aggregators have reports spread") {
  DataCentre hosts;
  const PaceReports request{
      .paces = {{.endpoint = EndpointKeyOf(kEndpoint), .pace_percent = 400}},
      .purpose = static_cast<uint8_t>(PacePurpose::kSpread)};
  for (const auto& [from, sent] :
       {std::pair<size_t, size_t>{8, 0}, {1, kHosts - 1}}) {
    hosts.Deliver({.from = from, .to = 9, .body = core::Encode(request)});
    CHECK(hosts.SentBy(9) == sent);
  }
}

}  // namespace
}  // namespace wasabi::forwarding

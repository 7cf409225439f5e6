// The endpoints that are cold now, and the exchange of this state between
// hosts. Handles endpoints that start while hundreds of hosts read their
// registrations at different times: the first host that reads one informs the
// others at its next tick. Decision code without I/O: the caller supplies the
// time and a function that sends datagrams.

#ifndef LIBFORWARDING_COLD_NEWS_H_
#define LIBFORWARDING_COLD_NEWS_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/cold_report.h"
#include "LibForwarding/limit_news.h"
#include "LibForwarding/report_peers.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class ColdNews {
 public:
  struct State {
    // Requests per second that the endpoint tolerates.
    double per_second = 0;
    core::TimePoint until;
  };
  // Called when an endpoint becomes cold, or stays cold for longer than known.
  using Observer = std::function<void(uint32_t key, const State& state)>;

  // Returns the key under which the hash of an endpoint's id is known. Hosts
  // that pass on the news of a whole data centre have no room for all of it; if
  // two endpoints have the same key, both count as cold.
  static uint32_t KeyOf(uint64_t endpoint) {
    constexpr unsigned kUnusedBits = 32;
    return static_cast<uint32_t>(endpoint >> kUnusedBits);
  }

  ColdNews(core::HostId self, LimitNews::SendFunction send);

  void SetPeers(ReportPeers peers) { peers_ = std::move(peers); }
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Records what this host has found out itself. Other hosts are informed if it
  // is news. A shorter time than the known one changes nothing.
  void Record(uint64_t endpoint, const State& state, core::TimePoint now);
  // Merges the report of another host. Returns whether it is news.
  bool Merge(const ColdReport& report, core::TimePoint now) {
    return Merge(KeyOf(report.endpoint), report.per_second,
                 report.left_milliseconds, now);
  }

  // Returns the state of an endpoint that is cold, otherwise nullopt. States
  // that have ended are dropped by Tick.
  std::optional<State> Find(uint64_t endpoint) const;
  ColdReport ReportOf(uint64_t endpoint, core::TimePoint now) const;
  size_t size() const { return states_.size(); }

  // Sends what is due, and drops the states that have ended.
  void Tick(core::TimePoint now);
  // Handles a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReports(std::string_view body, core::TimePoint now);

 private:
  struct Entry {
    State state;
    // The end that was last reported or received. Later ends are news only if
    // they differ by more than transmission times do.
    core::TimePoint reported_until{};
    // Remaining sends. Reports are repeated because datagrams get lost.
    int remaining_sends = 0;
  };

  bool Merge(uint32_t key,
             double per_second,
             int64_t left_milliseconds,
             core::TimePoint now);
  // Returns whether the state is news.
  bool Extend(uint32_t key, const State& state, core::TimePoint now);
  void QueueReport(uint32_t key);
  void Send(ColdGroup group);

  const core::HostId self_;
  const LimitNews::SendFunction send_;
  ReportPeers peers_;
  Observer observer_;
  absl::flat_hash_map<uint32_t, Entry> states_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_COLD_NEWS_H_

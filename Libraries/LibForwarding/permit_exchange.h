// Keeps the rate limits of endpoints: the hosts of a fleet together send an
// endpoint no more requests per second than it accepts. It is decision code
// without I/O: the caller supplies the time, the hosts and a function that
// sends datagrams.
//
// The permits of an endpoint are granted by one host, the first in the
// rendezvous order of the endpoint. Every other host asks it before it sends a
// request there. While it asks, further requests wait for the answer: a denial
// is the answer to all of them. Hosts that see only part of the fleet grant
// only that part's share of the limit, so that the parts together keep it. A
// host that gets no answer sends its own share, spread over time.
//
// Hosts tell each other of limits, so that an endpoint need not refuse each of
// hundreds of hosts first.
//
// A cold endpoint has just started and tolerates only a low rate, which it does
// not announce. While it is cold, its limit is the smaller of an announced one
// and the rate that its pool tolerates. An endpoint without requests attracts
// those of all hosts, so a host whose question is denied is told a time of its
// own at which to ask again.

#ifndef LIBFORWARDING_PERMIT_EXCHANGE_H_
#define LIBFORWARDING_PERMIT_EXCHANGE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/rendezvous.h"
#include "LibCore/time.h"
#include "LibForwarding/cold_news.h"
#include "LibForwarding/cold_permits.h"
#include "LibForwarding/endpoint_limit.h"
#include "LibForwarding/grant_reply.h"
#include "LibForwarding/limit_news.h"
#include "LibForwarding/permit_bucket.h"
#include "LibForwarding/report_peers.h"
#include "LibMembership/application_kind.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class PermitExchange {
 public:
  using SendFunction = std::function<void(const std::vector<core::HostId>& to,
                                          membership::ApplicationKind kind,
                                          std::string_view body)>;
  using Callback = std::function<void(bool is_granted)>;

  // Questions are numbered above `first_sequence`, which is higher than all
  // numbers of this host's previous process.
  PermitExchange(core::HostId self, SendFunction send, uint64_t first_sequence);

  // Sets the running hosts that this host sees, itself included, and the number
  // of hosts of the whole fleet, which may include some that it cannot reach.
  void SetHosts(const std::vector<core::HostId>& running, size_t fleet_size);
  void SetPeers(const ReportPeers& peers) {
    limits_.SetPeers(peers);
    cold_.SetPeers(peers);
  }
  void SetColdPolicy(const ColdPolicy& policy) { cold_policy_ = policy; }
  void SetColdObserver(ColdNews::Observer observer) {
    cold_.SetObserver(std::move(observer));
  }

  // Records the limit in an answer: requests per second, or nullopt if there is
  // none.
  void RecordLimit(const core::RunnerId& endpoint,
                   std::optional<double> per_second,
                   core::TimePoint now);
  // Records that an endpoint stays cold for `left` and tolerates `per_second`
  // requests per second in this time.
  void MarkCold(const core::RunnerId& endpoint,
                double per_second,
                core::Duration left,
                core::TimePoint now);
  // Discards what is known of an endpoint that has restarted, except that it is
  // cold: this may be the news of the restart.
  void Forget(const core::RunnerId& endpoint);

  // Returns whether requests to the endpoint need permits.
  bool IsLimited(const core::RunnerId& endpoint) const;
  // Returns whether the endpoint has announced a limit.
  bool HasAnnouncedLimit(const core::RunnerId& endpoint) const {
    return limits_.Find(endpoint.Hash()).has_value();
  }
  bool IsCold(const core::RunnerId& endpoint) const {
    return cold_.Find(endpoint.Hash()).has_value();
  }
  size_t cold_endpoints() const { return cold_.size(); }
  // Returns the time until which the endpoint has no permit, which may have
  // passed.
  core::TimePoint ExhaustedUntil(const core::RunnerId& endpoint) const;
  // Asks for a permit to send one request to an endpoint. Returns the answer or
  // calls `callback` later; see GrantReply.
  [[nodiscard]] GrantReply<bool> Acquire(const core::RunnerId& endpoint,
                                         core::TimePoint now,
                                         Callback callback);

  // Sends what is due, and ends questions that got no answer. Must be called
  // every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handle a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnReports(std::string_view body, core::TimePoint now) {
    return limits_.OnReports(body, now);
  }
  absl::Status OnColdReports(std::string_view body, core::TimePoint now) {
    return cold_.OnReports(body, now);
  }
  absl::Status OnQuestion(const core::HostId& from,
                          std::string_view body,
                          core::TimePoint now);
  absl::Status OnAnswer(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);

 private:
  // A question that waits for its answer.
  struct Question {
    uint64_t endpoint = 0;
    core::HostId asked;
    Callback callback;
    core::TimePoint ends_at;
  };
  // The questions about one endpoint, and the requests that wait for their
  // outcome. The number of questions at a time doubles with each grant, so that
  // requests soon have their permits where there are many, and few are asked
  // where there are none.
  struct Asking {
    size_t open = 0;
    size_t max_open = 1;
    std::deque<Callback> waiting;
  };

  // Returns whether there is a permit, if no other host has to be asked.
  GrantReply<bool> TakeWithoutQuestion(uint64_t endpoint, core::TimePoint now);
  // Asks the granting host, or waits for the outcome of earlier questions.
  void AskOrWait(uint64_t endpoint, core::TimePoint now, Callback callback);
  void Ask(uint64_t endpoint,
           const core::HostId& granter,
           core::TimePoint now,
           Callback callback);
  // Counts a question about `endpoint` as ended with a permit. Asks for those
  // that wait.
  void EndWithPermit(uint64_t endpoint, core::TimePoint now);
  // Counts a question about `endpoint` as ended without a permit. Returns those
  // that wait.
  std::deque<Callback> EndWithoutPermit(uint64_t endpoint);
  // Returns the host that grants the permits of an endpoint; empty if no host
  // is known.
  core::HostId GranterOf(uint64_t endpoint) const;
  // Takes a permit of those that this host grants. Returns the time until the
  // next one, or zero if there was one.
  core::Duration TakeGranted(uint64_t endpoint,
                             double per_second,
                             core::TimePoint now);
  // Returns the requests per second that the endpoint accepts; nullopt if there
  // is no limit.
  std::optional<double> LimitOf(uint64_t endpoint) const;
  // Returns the share of the fleet's hosts that this host sees.
  double SeenShare() const;
  // Takes a permit of this host's own share, without asking.
  bool TakeOwnShare(uint64_t endpoint, core::TimePoint now);
  void Exhaust(uint64_t endpoint, core::Duration wait, core::TimePoint now);

  const core::HostId self_;
  const SendFunction send_;
  std::vector<core::HostId> running_;
  std::vector<core::RendezvousCandidate> candidates_;
  size_t fleet_size_ = 1;
  // The running hosts have changed since the last tick.
  bool have_hosts_changed_ = false;
  // Until then other hosts may know of other running hosts.
  core::TimePoint unsettled_until_{};

  LimitNews limits_;
  ColdNews cold_;
  ColdPolicy cold_policy_;
  absl::flat_hash_map<uint64_t, ColdPermits> cold_permits_;
  absl::flat_hash_map<uint64_t, PermitBucket> buckets_;
  absl::flat_hash_map<uint64_t, core::TimePoint> exhausted_until_;
  // The last turn in which this host used its own share of an endpoint.
  absl::flat_hash_map<uint64_t, int64_t> used_turns_;
  // Hosts that did not answer, and when they are asked again.
  std::map<core::HostId, core::TimePoint> silent_until_;
  std::map<uint64_t, Question> questions_;
  absl::flat_hash_map<uint64_t, Asking> asking_;
  uint64_t sequence_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PERMIT_EXCHANGE_H_

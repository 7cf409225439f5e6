// Keeps the hosts of a fleet together within the places of brittle endpoints,
// which crash when they have to turn away too many requests for want of room.
// Decision code without I/O: the caller supplies the time, the hosts and a
// function that sends datagrams.
//
// The places of an endpoint are granted by one host, the first in the
// rendezvous order of the endpoint. Every message to it says how many requests
// of the sender are in flight there, so that lost messages, restarts and a new
// granting host are made up for by the next one. Until a host that has just
// started, or has just become the granting host, has heard what the others have
// in flight, it grants nothing. A host that has just started asks others which
// endpoints are brittle.
//
// The endpoints of a pool are brittle at the same times. One that has not
// answered since it started, or since this host knows it, counts as brittle
// while the latest answer of its pool says so.

#ifndef LIBFORWARDING_PLACE_EXCHANGE_H_
#define LIBFORWARDING_PLACE_EXCHANGE_H_

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint.h"
#include "LibForwarding/grant_reply.h"
#include "LibForwarding/granter_order.h"
#include "LibForwarding/limit_news.h"
#include "LibForwarding/place_message.h"
#include "LibForwarding/report_peers.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"

namespace wasabi::forwarding {

class PlaceExchange {
 public:
  using SendFunction = LimitNews::SendFunction;
  using Callback = std::function<void(bool is_granted)>;
  // Returns the number of this host's requests in flight at the endpoint whose
  // id has this hash.
  using InFlightFunction = std::function<uint32_t(uint64_t endpoint)>;

  // Messages are numbered above `first_sequence`, which is higher than all
  // numbers of this host's previous process.
  PlaceExchange(core::HostId self,
                InFlightFunction in_flight,
                SendFunction send,
                uint64_t first_sequence);

  // Sets the hosts that run, including this one, and the number of hosts of the
  // fleet.
  void SetHosts(const std::vector<core::HostId>& running,
                size_t fleet_size,
                core::TimePoint now);
  void SetPeers(ReportPeers peers) { brittle_.SetPeers(std::move(peers)); }

  // Records whether an answer of the endpoint says that it is brittle.
  void RecordBrittle(const Endpoint& endpoint,
                     bool is_brittle,
                     core::TimePoint now);
  // Discards what is known of an endpoint that has restarted. While its pool is
  // brittle, everything stays known: requests may be at the new start already
  // when the hosts hear of it, and keep their places.
  void Forget(const Endpoint& endpoint);

  bool IsBrittle(const Endpoint& endpoint) const;
  // Returns the time until which the endpoint has no place, which may have
  // passed.
  core::TimePoint FullUntil(const core::RunnerId& endpoint) const;
  // Asks for a place for one request that starts at once if it is granted.
  // Returns the answer or calls `callback` later; see GrantReply.
  [[nodiscard]] GrantReply<bool> Acquire(const Endpoint& endpoint,
                                         core::TimePoint now,
                                         Callback callback);
  // Reports that a request of this host has ended, or does not start although
  // its place was granted.
  void OnFinished(const core::RunnerId& endpoint, core::TimePoint now);

  // Sends what is due, and ends questions that got no answer. Must be called
  // every few ten milliseconds.
  void Tick(core::TimePoint now);

  // Handle a datagram of another host. Errors: kMalformedMessage.
  absl::Status OnNews(std::string_view body, core::TimePoint now) {
    return brittle_.OnReports(body, now);
  }
  // The sender has just started.
  absl::Status OnNewsQuestion(const core::HostId& from, core::TimePoint now);
  absl::Status OnQuestion(const core::HostId& from,
                          std::string_view body,
                          core::TimePoint now);
  absl::Status OnAnswer(const core::HostId& from,
                        std::string_view body,
                        core::TimePoint now);
  absl::Status OnReport(const core::HostId& from,
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
  // The requests in flight of one host at one endpoint.
  struct Holder {
    uint64_t sequence = 0;
    uint32_t in_flight = 0;
    core::TimePoint heard_at;
  };

  core::HostId GranterOf(uint64_t endpoint) const {
    return order_.GranterOf(endpoint);
  }
  // Returns the requests in flight of this host, and those that wait for an
  // answer.
  uint32_t OwnDemand(uint64_t endpoint) const;
  // Records what a host said. Returns the holder.
  Holder& RecordHolder(const core::HostId& host,
                       const PlaceReport& report,
                       core::TimePoint now);
  // Grants a place to `host` if one is free.
  bool Grant(const core::HostId& host,
             const PlaceReport& report,
             core::TimePoint now);
  // Returns whether this host may send a request without asking.
  bool HasOwnPlace(uint64_t endpoint) const;
  // Answers a question without the granting host. If this host has no place of
  // its own, the endpoint counts as full until `full_until`.
  bool TakeOwnPlace(uint64_t endpoint, core::TimePoint full_until);
  PlaceReport MakeReport(uint64_t endpoint, core::TimePoint now);
  void SendReport(uint64_t endpoint, core::TimePoint now);
  // Asks other hosts which endpoints are brittle, while this host is new.
  void AskForNews(core::TimePoint now);

  const core::HostId self_;
  const InFlightFunction in_flight_;
  const SendFunction send_;
  GranterOrder order_;
  size_t fleet_size_ = 1;

  // The slots of the endpoints that are brittle, and the pools that are, under
  // keys of their own.
  LimitNews brittle_;
  absl::flat_hash_map<uint64_t, std::map<core::HostId, Holder>> holders_;
  absl::flat_hash_map<uint64_t, core::TimePoint> full_until_;
  // Endpoints at which this host has, or had at the last report, requests.
  std::set<uint64_t> reported_;
  std::map<uint64_t, Question> questions_;
  std::map<core::HostId, core::TimePoint> silent_until_;
  // Questions in a row that each host has not answered.
  std::map<core::HostId, int> unanswered_;
  uint64_t sequence_;
  core::TimePoint next_reports_at_{};
  int news_questions_ = 0;
  core::TimePoint next_news_question_at_{};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PLACE_EXCHANGE_H_

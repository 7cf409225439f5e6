// Real wasabi_router processes between callers and endpoints that note what
// they begin. Any landing of the program can be run.

#ifndef TESTS_ONCE_ONCE_FLEET_H_
#define TESTS_ONCE_ONCE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/origin_client.h"
#include "Tests/Once/once_endpoint.h"
#include "Tests/Once/once_record.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/PlatformStore/store_server.h"
#include "Tests/Support/PlatformStore/watched_log.h"

namespace wasabi::once {

struct FleetOptions {
  size_t hosts = 2;
  // Endpoints of each of the two pools.
  size_t endpoints = 3;
  double requests_per_second = 120;
  bool load_control_enabled = false;
  // The first host reaches endpoints by links of its own.
  bool has_links = false;
  // Slots of an endpoint.
  size_t slots = 64;
  // The first kinds of RequestKind are sent.
  size_t kinds = static_cast<size_t>(RequestKind::kCount);
  // Size of the bodies of POST requests; a few words if it is zero.
  size_t body_bytes = 0;
  // How long the entry of an endpoint stands after its end.
  core::Duration entry_time = core::seconds(2);
  // Share of the calls whose caller leaves early.
  double leaving_share = 0;
  uint64_t seed = 1;
};

// What an endpoint starts anew as.
enum class Renewal : uint8_t { kOtherId, kOtherIdAndPool, kSameId };

class OnceFleet {
 public:
  // Starts everything and waits until all hosts serve; aborts the process if
  // they don't.
  explicit OnceFleet(const FleetOptions& options);
  ~OnceFleet();
  OnceFleet(const OnceFleet&) = delete;
  OnceFleet& operator=(const OnceFleet&) = delete;

  void SetBehaviour(const Behaviour& behaviour);
  // Sends requests for `time`; calls `disturb` every 50 ms meanwhile.
  void SendFor(core::Duration time, const std::function<void()>& disturb);
  // Runs the loop until no call is open and no endpoint works, or for a few
  // seconds.
  void Drain();

  // These act on the process of a host. A host that ends is started again.
  void Signal(size_t host, int number);
  // SIGSTOP, and SIGCONT after `time`.
  void StandStill(size_t host, core::Duration time);
  // Resets the connections of the first host to all endpoints, and refuses new
  // ones. Requires FleetOptions::has_links.
  void CutFirstHost();
  // An endpoint ends, and another one starts at its address. An entry of
  // another id stands for a while.
  void Renew(size_t endpoint, Renewal renewal);
  // Registers a second id at the address of an endpoint.
  void AddSecondEntry(size_t endpoint);

  const std::vector<std::unique_ptr<OnceEndpoint>>& endpoints() const {
    return endpoints_;
  }
  const OnceRecord& record() const { return record_; }
  core::RandomSource& random() { return random_; }
  core::EventLoop* loop() { return &loop_; }
  size_t hosts() const { return hosts_.size(); }
  size_t served() const;
  size_t renewals() const { return renewals_; }
  // Asks the hosts for their metrics, and returns the sum of a counter of
  // theirs.
  uint64_t SumOfCounter(const std::string& name);
  // Calls `task` after `delay`, while the fleet runs.
  void CallAfter(core::Duration delay, std::function<void()> task);

 private:
  struct Host;
  // The way of the first host to one endpoint.
  struct Link;
  // What the platform knows of an endpoint.
  struct Entry {
    std::string id;
    std::string pool;
    core::SocketAddress address;
    int64_t born = 0;
    size_t renewals = 0;
  };

  void AddEndpoints();
  void Listen(size_t index);
  void AddLinks();
  void WriteConfiguration();
  void WriteRegistrations();
  void WriteRegistration(const Entry& entry);
  void AddHost(size_t index);
  void StartHost(Host* host);
  void PollHosts();
  void SendCall();
  void Send(const std::shared_ptr<Call>& call, bool is_probe);
  void RunFor(core::Duration time);

  const FleetOptions options_;
  core::EventLoop loop_;
  core::RandomSource random_;
  const std::string folder_;
  support::WatchedLog log_;
  std::unique_ptr<support::StoreServer> store_;
  OnceRecord record_;
  // The entries of `endpoints_`, then second ones for their addresses.
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<OnceEndpoint>> endpoints_;
  Behaviour behaviour_;
  size_t renewals_ = 0;
  std::vector<std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Host>> hosts_;
  http::OriginClient client_;
  std::vector<std::unique_ptr<core::Timer>> timers_;
  std::unique_ptr<core::Timer> poll_timer_;
  int64_t sequence_ = 0;
  core::TimePoint registered_at_{};
  bool is_serving_ = false;
};

}  // namespace wasabi::once

#endif  // TESTS_ONCE_ONCE_FLEET_H_

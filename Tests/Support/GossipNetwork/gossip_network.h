// Simulates a network of members in virtual time with seeded faults. Tests and
// wasabi_membership_bench run the production GossipProtocol on it.

#ifndef TESTS_SUPPORT_GOSSIPNETWORK_GOSSIP_NETWORK_H_
#define TESTS_SUPPORT_GOSSIPNETWORK_GOSSIP_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibMembership/gossip_protocol.h"

namespace wasabi::membership {

// Traffic of one node in bytes, including datagram headers.
struct NodeTraffic {
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
};

class GossipNetwork {
 public:
  struct Options {
    int members = 8;
    uint64_t seed = 1;
    // Share of datagrams that are lost, in [0, 1].
    double drop = 0;
    // Number of members, from 0 on, that every member initially has as seeds.
    int seeds = 1;
  };
  // Returns true if datagrams from `from` to `to` are lost.
  using IsBlocked = std::function<bool(int from, int to)>;
  using ApplicationHandler =
      std::function<void(int to, const Member& from, const DatagramView&)>;
  using TickHandler = std::function<void(int node, core::TimePoint now)>;

  explicit GossipNetwork(const Options& options);

  // Starts all members at random times within one second of virtual time.
  void StartAll();
  void Start(int node);
  // Ends the process without an announcement to other members.
  void Kill(int node);
  // Replaces the process by a new one with the same id at a new port.
  void Restart(int node);
  // Suspend and resume the process. Datagrams that arrive in between are
  // buffered.
  void Freeze(int node);
  void Thaw(int node);
  // Drops all datagrams for which `is_blocked` returns true.
  void SetPartition(IsBlocked is_blocked) {
    is_blocked_ = std::move(is_blocked);
  }
  void SetSeeds(int node, const std::vector<core::SocketAddress>& seeds);

  void RunFor(core::Duration duration);
  // Runs until `condition` returns true, checked every 50 ms of virtual time,
  // or until `limit` has passed. Returns the elapsed virtual time.
  core::Duration RunUntil(const std::function<bool()>& condition,
                          core::Duration limit);

  bool IsRunning(int node) const { return nodes_[node].protocol != nullptr; }
  GossipProtocol& protocol(int node) { return *nodes_[node].protocol; }
  int size() const { return static_cast<int>(nodes_.size()); }
  core::TimePoint now() const { return now_; }
  NodeTraffic& traffic(int node) { return nodes_[node].traffic; }
  core::SocketAddress AddressOf(int node) const { return nodes_[node].address; }
  core::HostId IdOf(int node) const;

  // Sends an application datagram from `node`.
  void SendApplication(int node,
                       const core::SocketAddress& to,
                       uint8_t kind,
                       std::string_view body);
  void SetApplicationHandler(ApplicationHandler handler) {
    application_handler_ = std::move(handler);
  }
  // Called after each tick of a node.
  void SetTickHandler(TickHandler handler) {
    tick_handler_ = std::move(handler);
  }

  // Returns true if every running member sees all running members as alive and
  // all others as gone.
  bool IsConverged();
  // Returns true if every other running member sees `node` in `state`.
  bool AllSee(int node, MemberState state);
  // Returns the state in which `viewer` sees `node`, or kGone if `node` isn't
  // in its member table.
  MemberState StateSeen(int viewer, int node);

 private:
  struct Datagram {
    core::SocketAddress from;
    int sender = 0;
    std::string bytes;
  };
  struct Node {
    std::unique_ptr<GossipProtocol> protocol;
    core::SocketAddress address;
    bool is_frozen = false;
    uint64_t generation = 0;
    // Incremented by each start and kill, so that pending ticks of earlier
    // processes are ignored.
    uint64_t process_number = 0;
    std::vector<Datagram> buffered_datagrams;
    std::vector<core::SocketAddress> seeds;
    NodeTraffic traffic;
  };
  struct Event {
    core::TimePoint at;
    uint64_t order = 0;
    std::function<void()> action;

    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Schedule(core::Duration delay, std::function<void()> action);
  void ScheduleTick(int node, uint64_t process_number, core::Duration delay);
  void Send(int from, const core::SocketAddress& to, std::string_view bytes);
  void Deliver(int to, const Datagram& datagram);
  Member MakeMember(int node) const;

  const Options options_;
  core::RandomSource random_;
  core::TimePoint now_;
  uint64_t next_order_ = 0;
  std::vector<Node> nodes_;
  absl::flat_hash_map<core::SocketAddress, int> by_address_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  IsBlocked is_blocked_;
  ApplicationHandler application_handler_;
  TickHandler tick_handler_;
};

}  // namespace wasabi::membership

#endif  // TESTS_SUPPORT_GOSSIPNETWORK_GOSSIP_NETWORK_H_

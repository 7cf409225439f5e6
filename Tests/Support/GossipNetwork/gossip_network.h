// A network of gossip protocols in virtual time, with seeded faults. Tests and
// wasabi_membership_bench run the real protocol code on it.

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

// Bytes with the headers of datagrams.
struct NodeTraffic {
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
};

class GossipNetwork {
 public:
  struct Options {
    int members = 8;
    uint64_t seed = 1;
    // Share of datagrams that are lost.
    double drop = 0;
    // Members that everybody gets as seeds from the start.
    int seeds = 1;
  };
  using Blocked = std::function<bool(int from, int to)>;
  using ApplicationHandler =
      std::function<void(int to, const Member& from, const DatagramView&)>;
  using TickHandler = std::function<void(int node, core::TimePoint now)>;

  explicit GossipNetwork(const Options& options);

  // Starts all members within the first second.
  void StartAll();
  void Start(int node);
  // Ends the process without a word.
  void Kill(int node);
  // Starts a new process of the same name, at a new port.
  void Restart(int node);
  // Stops and resumes the process; what arrives in between waits.
  void Freeze(int node);
  void Thaw(int node);
  // Datagrams for which `blocked` holds are lost.
  void SetPartition(Blocked blocked) { blocked_ = std::move(blocked); }
  void SetSeeds(int node, const std::vector<core::SocketAddress>& seeds);

  void RunFor(core::Duration duration);
  // Runs until `condition` holds, checked every 50 ms; returns the time that
  // took, at most `limit`.
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

  // True when every running member sees exactly the running ones, as alive.
  bool IsConverged();
  // True when every running member but `node` sees it in `state`.
  bool AllSee(int node, MemberState state);
  // The state in which `viewer` sees `node`; kGone where it isn't in the table.
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
    // Distinguishes ticks of earlier processes of this node.
    uint64_t life = 0;
    std::vector<Datagram> waiting;
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
  void ScheduleTick(int node, uint64_t life, core::Duration delay);
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
  Blocked blocked_;
  ApplicationHandler application_handler_;
  TickHandler tick_handler_;
};

}  // namespace wasabi::membership

#endif  // TESTS_SUPPORT_GOSSIPNETWORK_GOSSIP_NETWORK_H_

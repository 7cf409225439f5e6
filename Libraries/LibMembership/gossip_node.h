// Runs the membership protocol on a UDP socket and an event loop. Other modules
// can send small application datagrams over the same socket.

#ifndef LIBMEMBERSHIP_GOSSIP_NODE_H_
#define LIBMEMBERSHIP_GOSSIP_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibMembership/gossip_protocol.h"
#include "LibMembership/member_table.h"
#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

namespace wasabi::membership {

class GossipNode {
 public:
  // Called on the loop with the new table.
  using Observer = std::function<void(const MemberTableSnapshot& table)>;
  // Handles an application datagram from the member `from`, which is identified
  // by its source address. Called on the loop. If it returns an error, the
  // datagram counts as dropped.
  using ApplicationHandler =
      std::function<absl::Status(const Member& from, std::string_view body)>;

  // Binds the gossip address of `options.self`; port 0 selects a free port. An
  // incarnation of 0 is replaced by one derived from the wall clock, so that
  // every new process of this daemon has a higher one. `loop` and `event_ring`
  // must outlive the node; `event_ring` may be nullptr. Returns kCannotListen
  // if the socket can't be created or bound.
  static absl::StatusOr<std::unique_ptr<GossipNode>> Create(
      core::EventLoop* loop,
      GossipOptions options,
      uint64_t random_seed,
      core::EventRing* event_ring);

  ~GossipNode();
  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  // Returns the member table as seen by this daemon, including itself.
  MemberTableSnapshot table() const { return protocol_->table(); }
  const Member& self() const { return protocol_->self(); }

  // Adds an observer that is called after every change of the table, including
  // changes of applied offsets, in the same loop iteration as the change.
  void OnChange(Observer observer);

  // See GossipProtocol.
  void SetSeeds(const std::vector<core::SocketAddress>& seeds);
  void AnnounceLeaving();
  void SetAppliedOffset(int64_t offset);

  // Sends `body` of at most kMaxApplicationBytes to a member. `kind` must be at
  // least DatagramKind::kFirstApplication. Returns kPeerUnreachable if the
  // member is unknown and kMalformedMessage if the body is too large or `kind`
  // is too low.
  absl::Status SendApplication(const core::HostId& to,
                               uint8_t kind,
                               std::string_view body);

  // Sets the handler for application datagrams of `kind`; nullptr removes it.
  void SetApplicationHandler(uint8_t kind, ApplicationHandler handler);

  // Bytes since the node was created, including IP and UDP headers.
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  // Number of received datagrams that were dropped because their sender was
  // unknown, they were malformed, or a handler returned an error.
  uint64_t datagrams_dropped() const { return datagrams_dropped_; }

 private:
  GossipNode(core::EventLoop* loop, core::EventRing* event_ring);
  absl::Status Listen(core::SocketAddress* address);
  void Start(GossipOptions options, uint64_t random_seed);
  void Send(const core::SocketAddress& to, std::string_view datagram);
  void ReadAvailable();
  void Dispatch(const core::SocketAddress& from, std::string_view datagram);
  absl::Status DispatchApplication(const core::SocketAddress& from,
                                   const DatagramView& view);
  void RecordDrop(const core::SocketAddress& from, const absl::Status& status);
  // Records member state changes since the last call as events and notifies the
  // observers if the table changed.
  void Publish();

  core::EventLoop* const loop_;
  core::EventRing* const event_ring_;
  int descriptor_ = -1;
  std::unique_ptr<GossipProtocol> protocol_;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::unique_ptr<core::Timer> ticker_;
  std::vector<Observer> observers_;
  absl::flat_hash_map<uint8_t, ApplicationHandler> handlers_;
  uint64_t published_version_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t datagrams_dropped_ = 0;
  // Time before which no further drop event is recorded. Drop events are
  // limited to one per second so that a flood of them doesn't evict other
  // events from the ring.
  core::TimePoint next_drop_event_at_{};
};

// Maximum body size of an application datagram in bytes.
constexpr size_t kMaxApplicationBytes =
    kMaxDatagramBytes - kDatagramPrefixBytes;

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_NODE_H_

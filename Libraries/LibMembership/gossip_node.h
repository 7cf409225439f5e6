// The membership protocol on a UDP socket and the loop. Other modules send
// small datagrams of their own over the same socket.

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
  using Observer = std::function<void(const MemberTableView& table)>;
  // Takes an application datagram from `from`, a member by its address. One
  // for which it returns an error counts as dropped.
  using ApplicationHandler =
      std::function<absl::Status(const Member& from, std::string_view body)>;

  // Listens at the gossip address of `options.self`; port 0 takes a free one.
  // An incarnation of 0 is replaced by one from the wall clock, so that it
  // grows from one process to the next. `event_ring` may be nullptr. Error:
  // kCannotListen.
  static absl::StatusOr<std::unique_ptr<GossipNode>> Create(
      core::EventLoop* loop,
      GossipOptions options,
      uint64_t random_seed,
      core::EventRing* event_ring);

  ~GossipNode();
  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  // The fleet as this daemon sees it; itself included.
  MemberTableView table() const { return protocol_->table(); }
  const Member& self() const { return protocol_->self(); }

  // Calls `observer` after every change of the table, offsets included, in the
  // turn of the loop that brought it.
  void OnChange(Observer observer);

  // As in GossipProtocol.
  void SetSeeds(const std::vector<core::SocketAddress>& seeds);
  void AnnounceLeaving();
  void SetAppliedOffset(int64_t offset);

  // Sends `body`, at most kMaxApplicationBytes, to a member. `kind` is at least
  // DatagramKind::kFirstApplication. Errors: kPeerUnreachable for an unknown
  // member, kMalformedMessage for a body that is too large.
  absl::Status SendApplication(const core::HostId& to,
                               uint8_t kind,
                               std::string_view body);

  // Takes the application datagrams of `kind`; nullptr ends that.
  void SetApplicationHandler(uint8_t kind, ApplicationHandler handler);

  // Bytes since the start, with IP and UDP headers.
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  // Datagrams from strangers, and malformed ones.
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
  // Records and tells observers what changed since the last call.
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
  // Drops are recorded at most once a second, so that a flood of them doesn't
  // push other events out of the ring.
  core::TimePoint next_drop_event_{};
};

// Largest body of an application datagram in bytes.
constexpr size_t kMaxApplicationBytes =
    kMaxDatagramBytes - kDatagramPrefixBytes;

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_GOSSIP_NODE_H_

// A non-blocking TCP connection with a write buffer, driven by the event loop.

#ifndef LIBHTTP_TCP_STREAM_H_
#define LIBHTTP_TCP_STREAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibHttp/buffer_memory.h"
#include "absl/status/statusor.h"

namespace wasabi::http {

// A connection breaks if its peer has been silent for this long while bytes are
// unacknowledged, or while keep-alive probes are.
inline constexpr core::Duration kDeadPeerTime = core::milliseconds(3000);

// Its callbacks run on the event loop, which must outlive the stream.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  enum class End : uint8_t {
    // The peer closed its side in an orderly way (FIN), and sending had not
    // failed.
    kClosed,
    // The connection was reset, timed out or could not be established.
    kBroken,
  };

  // No callback runs after Close. Each callback may destroy the owner of the
  // stream. `on_data` must be set.
  struct Callbacks {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(End end)> on_end;
    // The write buffer was drained. Runs in a later turn of the loop, never
    // inside Write.
    std::function<void()> on_drained;
  };

  // Starts to connect to `address`. Returns kPeerUnreachable if the socket
  // can't be created or the connection attempt fails at once; later failures
  // are reported to `on_end`.
  static absl::StatusOr<std::shared_ptr<TcpStream>> Connect(
      core::EventLoop* loop,
      const core::SocketAddress& address);

  // Wraps an accepted socket and takes ownership of `descriptor`.
  static std::shared_ptr<TcpStream> Adopt(core::EventLoop* loop,
                                          int descriptor);

  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Counts the write buffer in `memory`, and reads less at once while it is
  // scarce. To be called before Start.
  void SetMemory(std::shared_ptr<BufferMemory> memory) {
    held_.SetMemory(std::move(memory));
  }
  // Starts to watch the socket. Called once.
  void Start(Callbacks callbacks);
  // Replaces the callbacks, for the next user of a pooled connection.
  void SetCallbacks(Callbacks callbacks);

  // Sends `bytes`, and buffers those that the socket doesn't accept yet.
  void Write(std::string_view bytes);
  size_t unsent_bytes() const { return buffer_.size(); }
  // Returns whether the peer's kernel has received all written bytes.
  bool has_delivered_all() const;
  // Returns the number of bytes that the kernel has received and that were not
  // read yet.
  size_t readable_bytes() const;
  // True once the kernel has accepted at least one byte.
  bool has_sent() const { return has_sent_; }

  // Reads what the kernel has received so far, without waiting for the loop.
  // Calls back into the owner.
  void ReadNow();
  // Sets for how long a peer may accept no bytes, kDeadPeerTime by default. The
  // kernel doesn't distinguish a peer that is gone from one that doesn't read.
  void SetMaxStall(core::Duration max_stall);
  // Pauses or resumes reading. While reading is paused, the end of the
  // connection isn't detected either.
  void SetReading(bool is_reading);

  // Half-closes the connection once the write buffer is drained. Reading
  // continues.
  void ShutDownWriting();
  // Closes the socket and discards buffered bytes.
  void Close();
  // Does what Close does, and resets the connection.
  void Abort();
  bool is_open() const { return descriptor_ >= 0; }

 private:
  TcpStream(core::EventLoop* loop, int descriptor, bool is_connecting);

  void OnReady(bool is_readable, bool is_writable);
  bool FinishConnecting();
  void ReadAvailable();
  void Flush();
  // Sends what the socket accepts.
  void SendBuffered();
  void UpdateInterest();
  void ReportEnd(End end);

  core::EventLoop* const loop_;
  int descriptor_;
  bool is_connecting_;
  bool is_reading_ = true;
  bool has_sent_ = false;
  bool is_shut_down_ = false;
  bool shuts_down_when_drained_ = false;
  // The kernel refused bytes for good. It reports the connection's error once,
  // and an orderly end to those that read after it.
  bool has_send_failed_ = false;
  std::string buffer_;
  BufferMemory::Holding held_;
  Callbacks callbacks_;
  std::unique_ptr<core::IoWatcher> watcher_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_TCP_STREAM_H_

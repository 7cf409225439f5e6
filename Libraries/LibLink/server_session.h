// The server side of a connection between daemons, which receives calls.

#ifndef LIBLINK_SERVER_SESSION_H_
#define LIBLINK_SERVER_SESSION_H_

#include <memory>
#include <string_view>

#include "LibLink/link.h"
#include "LibLink/session.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::link {

class ServerSession final : public Session {
 public:
  // Takes ownership of the accepted socket `descriptor`. If the peer check
  // rejects `peer`, the session sends a GOAWAY with kUnknownSender and ignores
  // all received bytes.
  static std::shared_ptr<ServerSession> Start(
      std::shared_ptr<LinkContext> context,
      int descriptor,
      const core::SocketAddress& peer);

  // Refuses new calls. Calls in flight continue.
  void StopAccepting();

 private:
  class ServerCall;

  ServerSession(std::shared_ptr<LinkContext> context,
                const core::SocketAddress& peer);
  // Refuses all calls from a peer that failed the peer check.
  void Refuse();
  // Passes a complete request to the node's handler, or rejects it.
  void Dispatch(const std::shared_ptr<ServerCall>& call);

  void OnHeader(int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnStreamStarted(int32_t stream) override;
  void OnData(int32_t stream, std::string_view bytes) override;
  void OnEndOfStream(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error_code) override;
  void OnGoAway(std::string_view) override {}
  ssize_t OnReadBody(int32_t stream,
                     uint8_t* buf,
                     size_t length,
                     uint32_t* flags) override;
  void OnClosed(std::string_view reason) override;
  bool HasCalls() const override { return !calls_.empty(); }
  void OnBytes(std::string_view bytes) override;

  absl::flat_hash_map<int32_t, std::shared_ptr<ServerCall>> calls_;
  bool refused_ = false;
};

}  // namespace wasabi::link

#endif  // LIBLINK_SERVER_SESSION_H_

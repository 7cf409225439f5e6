// Finds out where a stream began that its caller resumes, and records where the
// stream of this request began. Endpoints of other pools or software versions
// would generate parts that do not belong together. The other hosts are asked
// first; if none remembers the stream, its origin is known if only one has been
// possible lately, or from the records in the platform's store.

#ifndef LIBFORWARDING_STREAM_RESUMPTION_H_
#define LIBFORWARDING_STREAM_RESUMPTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/stream_origin.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

class StreamResumption : public std::enable_shared_from_this<StreamResumption> {
 public:
  // Receives the origin, or the status with which the request is refused.
  using Callback = std::function<void(const absl::StatusOr<StreamOrigin>&)>;

  // The arguments must outlive this object.
  StreamResumption(ForwardContext* context,
                   const ForwardRequest& request,
                   EndpointChooser* chooser);

  // Finds the origin of the stream that the request resumes. Calls `callback`
  // once, possibly before this returns, unless cancelled.
  void FindOrigin(Callback callback);
  // Calls `then` once an endpoint that is not in `tried` can continue the
  // stream for certain, or it is clear that none can, possibly before this
  // returns.
  void AwaitEndpoint(const std::set<core::RunnerId>& tried,
                     std::function<void()> then);
  // Makes sure that no callback is called any more.
  void Cancel() { is_cancelled_ = true; }

  // Restricts the choice to endpoints of `origin` and makes it known to the
  // fleet. Returns false, and does nothing, if no endpoint can continue the
  // stream.
  bool ContinueAt(StreamOrigin origin);
  // Handles that an event of `endpoint` has reached the caller. After the first
  // one of the stream, only endpoints of its origin may continue it.
  void OnEvent(const Endpoint& endpoint);

 private:
  void OnOriginFound(std::optional<StreamOrigin> origin);
  // Passes on the origin, once it is certain which endpoints have it.
  void Continue(StreamOrigin origin);
  // Connects to the endpoints at `doubtful` and then reads the registrations.
  // Calls `then` at the end, with or without success.
  void ConfirmEndpoints(const std::vector<core::SocketAddress>& doubtful,
                        std::function<void()> then);
  void ReadRegistrations(std::function<void()> then);
  // Records where this stream began once that is known of `endpoint`, which may
  // have started anew since its registration was read.
  void RecordOriginLater(const Endpoint& endpoint);
  // Records that the stream `key` began at the version with which `endpoint` is
  // registered now. If its connections have broken since, the registration must
  // still be that of `endpoint`. `request` is the step of the stream's request,
  // if that still runs.
  static void RecordLateOrigin(ForwardContext* context,
                               const std::weak_ptr<StreamResumption>& request,
                               StreamKey key,
                               const Endpoint& endpoint,
                               bool has_broken);
  // Continues at the only origin that the stream can have, if there is just one
  // also after a read that is newer than the request. Otherwise calls
  // `otherwise`.
  void ContinueAtOnlyOrigin(void (StreamResumption::*otherwise)());
  void OnConfirmed(bool is_confirmed, void (StreamResumption::*otherwise)());
  // Handles that no host remembers where the stream began.
  void FindStoredOrigin();
  void OnStoredOrigin(std::optional<StreamOrigin> origin);
  void Refuse();
  // Makes the origin of this stream known to the fleet.
  void RecordOrigin(StreamOrigin origin);
  static void RecordOrigin(ForwardContext* context,
                           StreamKey key,
                           const core::PoolId& pool,
                           StreamOrigin origin);
  // Returns the only origin that the stream can have, if there is just one.
  std::optional<StreamOrigin> OnlyOrigin() const;
  // Returns the key under which the fleet knows the origin of this stream.
  StreamKey Key() const;
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const ForwardRequest& request_;
  EndpointChooser* const chooser_;
  Callback callback_;
  bool is_cancelled_ = false;
  // The registrations could not be read since the request arrived.
  bool is_unconfirmed_ = false;
  // The registrations were read for streams whose origin was not certain.
  bool has_read_ = false;
  // The caller has events of this stream, so that only endpoints of the same
  // origin may continue it.
  bool has_begun_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STREAM_RESUMPTION_H_

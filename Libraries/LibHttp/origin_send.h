// The handle to one send of OriginClient. Its connection carries other requests
// later, on which the handle has no effect.

#ifndef LIBHTTP_ORIGIN_SEND_H_
#define LIBHTTP_ORIGIN_SEND_H_

#include <memory>

#include "LibHttp/origin_client.h"
#include "LibHttp/origin_connection.h"

namespace wasabi::http {

class OriginSend : public OriginCall {
 public:
  explicit OriginSend(std::shared_ptr<OriginConnection> connection)
      : connection_(std::move(connection)) {}

  // The connection calls this when the send has ended.
  void End() {
    use_ = use();
    is_connected_ = is_connected();
    connection_.reset();
  }

  void Cancel() override;
  void SetReading(bool is_reading) override;
  bool is_reused() const override { return use().call > 1; }
  bool is_connected() const override {
    return connection_ == nullptr ? is_connected_ : connection_->is_connected();
  }
  ConnectionUse use() const override {
    return connection_ == nullptr ? use_ : connection_->use();
  }

 private:
  // nullptr once the send has ended.
  std::shared_ptr<OriginConnection> connection_;
  ConnectionUse use_;
  bool is_connected_ = false;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_ORIGIN_SEND_H_

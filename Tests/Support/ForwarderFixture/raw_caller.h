// A caller that writes the bytes of its requests itself and keeps every byte of
// the responses.

#ifndef TESTS_SUPPORT_FORWARDERFIXTURE_RAW_CALLER_H_
#define TESTS_SUPPORT_FORWARDERFIXTURE_RAW_CALLER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHttp/tcp_stream.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::support {

class RawCaller {
 public:
  // Connects to the callers' address of `fixture`.
  explicit RawCaller(ForwarderFixture* fixture)
      : stream_(*http::TcpStream::Connect(&fixture->loop,
                                          fixture->settings.callers_address)) {
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [this](std::string_view bytes) {
      received_.append(bytes);
    };
    callbacks.on_end = [this](http::TcpStream::End it) {
      end_ = it;
      stream_->Close();
    };
    stream_->Start(std::move(callbacks));
  }
  ~RawCaller() { stream_->Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Write(std::string_view bytes) { stream_->Write(bytes); }
  void SetReading(bool is_reading) { stream_->SetReading(is_reading); }
  bool HasReceived(std::string_view text) const {
    return received_.find(text) != std::string::npos;
  }
  const std::string& received() const { return received_; }
  // How the connection ended; nullopt while it is open.
  std::optional<http::TcpStream::End> end() const { return end_; }

 private:
  const std::shared_ptr<http::TcpStream> stream_;
  std::string received_;
  std::optional<http::TcpStream::End> end_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FORWARDERFIXTURE_RAW_CALLER_H_

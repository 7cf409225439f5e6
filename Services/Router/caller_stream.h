// Sends an answer to the caller, as server-sent events or as one JSON object.

#ifndef SERVICES_ROUTER_CALLER_STREAM_H_
#define SERVICES_ROUTER_CALLER_STREAM_H_

#include <memory>
#include <string>
#include <vector>

#include "LibHttp/exchange.h"
#include "Services/Router/answer_record.h"

namespace wasabi::router {

// Listener that writes to an HTTP exchange. With `is_streamed` it forwards each
// chunk as it arrives; otherwise it collects all chunks and responds at the
// end.
class CallerStream : public AnswerListener {
 public:
  // `extra_headers` are added to the headers of a successful response.
  CallerStream(std::shared_ptr<http::Exchange> exchange,
               bool is_streamed,
               std::string request_id,
               http::Headers extra_headers);

  void OnAnswerChunk(uint32_t index, std::string_view payload) override;
  void OnAnswerDone(const absl::Status& status) override;

 private:
  // Sends the response headers if they have not been sent yet.
  void StartOnce();
  void FinishStream(const absl::Status& status);
  void RespondWithJson();
  http::Headers AnswerHeaders(const std::string& content_type) const;

  std::shared_ptr<http::Exchange> exchange_;
  bool is_streamed_;
  std::string request_id_;
  http::Headers extra_headers_;
  std::vector<std::string> chunks_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_CALLER_STREAM_H_

#include "LibHttp/origin_send.h"

namespace wasabi::http {

void OriginSend::Cancel() {
  if (const auto connection = connection_) {
    connection->Cancel();
  }
}

void OriginSend::SetReading(bool is_reading) {
  if (const auto connection = connection_) {
    connection->SetReading(is_reading);
  }
}

}  // namespace wasabi::http

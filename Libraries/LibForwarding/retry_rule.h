// Decides whether a request is sent again after an attempt: by the repeat
// policy of its route, the number of its sends and runs, and the retries that
// the fleet allows to its pool.

#ifndef LIBFORWARDING_RETRY_RULE_H_
#define LIBFORWARDING_RETRY_RULE_H_

#include <cstdint>
#include <memory>

#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/execution_record.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/send_clearance.h"
#include "LibHttp/transaction.h"

namespace wasabi::forwarding {

class RetryRule {
 public:
  // The arguments must outlive this object.
  RetryRule(ForwardContext* context,
            const ForwardRequest& request,
            const http::Transaction& transaction,
            const EndpointChooser& chooser,
            const SendClearance& clearance,
            const ExecutionRecord& execution)
      : context_(context),
        request_(request),
        transaction_(transaction),
        chooser_(chooser),
        clearance_(clearance),
        execution_(execution) {}

  // Records that the latest attempt may have run.
  void RecordRun() { ++runs_; }
  // Returns the number of attempts that may have run.
  uint32_t runs() const { return runs_; }
  // Returns whether an attempt may have run.
  bool MayHaveRun() const { return execution_.MayHaveRun(); }

  // Returns whether the request may be sent again after an attempt that has not
  // run. If the endpoint was sent the request, a retry is taken from the
  // allowance of the pool.
  bool TakeResend(bool has_sent);
  // Returns whether the request may be sent again after an attempt that may
  // have run. A retry is then taken from the allowance of the pool.
  bool TakeRerun();
  // Returns whether the request could be retried if the current attempt fails
  // after the request may have run.
  bool CanRetryIfAttemptFails() const;

 private:
  bool IsRerunAllowed() const;
  bool TakeRetry();

  ForwardContext* const context_;
  const ForwardRequest& request_;
  const http::Transaction& transaction_;
  const EndpointChooser& chooser_;
  const SendClearance& clearance_;
  const ExecutionRecord& execution_;
  uint32_t runs_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RETRY_RULE_H_

// The course of a run over time, for plots.

#ifndef UTILITIES_LOAD_LOAD_SERIES_H_
#define UTILITIES_LOAD_LOAD_SERIES_H_

#include <nlohmann/json.hpp>

#include "Utilities/Load/experiment.h"
#include "Utilities/Load/load_run.h"

namespace wasabi::load {

// The series as JSON:
// {"interval_ms":N,
//  "engine_requests":{ENGINE:[…]}  requests in each engine, per interval;
//  "skew":[…]                      most loaded engine over the mean;
//  "whole_answers":[…]             answers to the turns of each interval;
//  "refused_sends":[…]             refused sends of those turns;
//  "first_token_ms":[…]            the 0th, 1st … 100th percentile}.
nlohmann::json MakeSeries(const Experiment& experiment,
                          const RunRecords& records);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LOAD_SERIES_H_

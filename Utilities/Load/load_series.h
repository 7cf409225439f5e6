// Time series of a run, for plots.

#ifndef UTILITIES_LOAD_LOAD_SERIES_H_
#define UTILITIES_LOAD_LOAD_SERIES_H_

#include <nlohmann/json.hpp>

#include "Utilities/Load/experiment.h"
#include "Utilities/Load/load_run.h"

namespace wasabi::load {

// Returns the time series of a run as JSON. "first_token_ms" is a distribution
// instead of a time series.
// {"interval_ms":N,
//  "engine_requests":{ENGINE:[…]}  mean requests in each engine;
//  "skew":[…]                      highest engine load / mean load;
//  "whole_answers":[…]             answered turns, by arrival;
//  "refused_sends":[…]             refused sends, by arrival of the turn;
//  "first_token_ms":[…]            0th, 1st … 100th percentile}.
nlohmann::json MakeSeries(const Experiment& experiment,
                          const RunRecords& records);

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_LOAD_SERIES_H_

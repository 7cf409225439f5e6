#include "LibRouting/placement.h"
#include "LibRouting/runner_admission.h"

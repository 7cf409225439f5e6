#include "LibRouting/work_item.h"

#include "LibIntent/configuration.h"

#include "LibLink/link.h"

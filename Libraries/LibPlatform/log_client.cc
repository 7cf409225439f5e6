#include "LibPlatform/log_client.h"
#include "LibPlatform/host_list_client.h"

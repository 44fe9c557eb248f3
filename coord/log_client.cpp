#include "coord/log_client.h"

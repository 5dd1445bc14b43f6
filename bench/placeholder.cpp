namespace parsleypitch::standins {}

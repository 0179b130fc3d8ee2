//! Admission, queueing and preemption on one upstream.

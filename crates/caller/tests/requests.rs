//! Parsing of callers' requests and jobs.

use {
    hyper::{HeaderMap, Method, header::HeaderValue},
    marigoldbend_caller::request::{ServiceRequest, read_job},
    std::time::Duration,
    test_case::test_case,
};

fn headers(fields: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(*name, HeaderValue::from_str(value).expect("a valid value"));
    }
    headers
}

fn read(
    method: &Method,
    uri: &str,
    fields: &[(&'static str, &str)],
) -> Result<Option<ServiceRequest>, String> {
    let uri = uri.parse().expect("a valid URI");
    let result = ServiceRequest::read(method, &uri, &headers(fields), "body".into());
    result.map_err(|e| e.to_string())
}

#[test_case("/services/inspection/a/b?c=d", "inspection", "/a/b?c=d"; "path and query")]
#[test_case("/services/inspection/", "inspection", "/"; "root")]
#[test_case("/services/inspection", "inspection", "/"; "no slash")]
fn target_is_the_path_after_the_service(uri: &str, service: &str, target: &str) {
    let req = read(&Method::GET, uri, &[])
        .expect("a valid request")
        .expect("a service");
    assert_eq!(
        (req.service.as_str(), req.target.as_str()),
        (service, target)
    );
}

#[test]
fn paths_outside_services_are_not_service_requests() {
    assert!(
        read(&Method::GET, "/service/inspection", &[])
            .expect("no error")
            .is_none()
    );
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let fields = [
        ("connection", "x-secret, close"),
        ("x-secret", "1"),
        ("transfer-encoding", "chunked"),
        ("marigoldbend-deadline-ms", "250"),
        ("x-kept", "2"),
    ];
    let req = read(&Method::GET, "/services/a/", &fields)
        .expect("a valid request")
        .expect("a service");
    let names: Vec<_> = req.headers.keys().map(|k| k.as_str()).collect();
    assert_eq!(names, ["x-kept"]);
    assert_eq!(req.deadline, Some(Duration::from_millis(250)));
}

#[test_case(&[("marigoldbend-deadline-ms", "soon")], "marigoldbend-deadline-ms"; "not a number")]
#[test_case(&[("marigoldbend-deadline-ms", "0")], "marigoldbend-deadline-ms"; "zero")]
#[test_case(&[("marigoldbend-deadline-ms", "1"), ("marigoldbend-deadline-ms", "2")], "marigoldbend-deadline-ms"; "twice")]
#[test_case(&[("idempotency-key", "")], "idempotency-key"; "empty key")]
fn errors_name_the_invalid_header_field(fields: &[(&'static str, &str)], name: &str) {
    let error = read(&Method::POST, "/services/a/", fields).expect_err("an invalid field");
    assert!(error.starts_with(name), "{error}");
}

#[test_case(Method::GET, true)]
#[test_case(Method::PUT, true)]
#[test_case(Method::DELETE, true)]
#[test_case(Method::POST, false)]
#[test_case(Method::PATCH, false)]
fn idempotent_methods_follow_rfc_9110(method: Method, idempotent: bool) {
    let req = read(&method, "/services/a/", &[("idempotency-key", "k")]);
    let req = req.expect("a valid request").expect("a service");
    assert_eq!(req.is_idempotent(), idempotent);
    assert_eq!(
        req.idempotency_key.is_some(),
        !idempotent,
        "only non-idempotent requests have a key"
    );
}

#[test_case(r#"{"team":"t","class":"c","run_ms":5}"#, None; "only the required fields")]
#[test_case(r#"{"team":"t","class":"c"}"#, Some("run_ms"); "missing")]
#[test_case(r#"{"team":"t","class":"c","run_ms":0}"#, Some("run_ms"); "zero")]
#[test_case(r#"{"team":"t","class":"c","run_ms":5,"tasks":1001}"#, Some("tasks"); "too many")]
#[test_case(r#"{"team":"t","class":"c","run_ms":5,"color":1}"#, Some("color"); "unknown")]
#[test_case(r#"{"team":5,"class":"c","run_ms":5}"#, Some("string"); "wrong type")]
#[test_case(r#"{"team""#, Some("EOF"); "truncated")]
fn errors_name_the_invalid_job_field(body: &str, named: Option<&str>) {
    match (read_job(body.as_bytes()), named) {
        (Ok(spec), None) => assert_eq!(spec.tasks, 1),
        (Err(e), Some(named)) => assert!(e.to_string().contains(named), "{e}"),
        (result, _) => panic!("{result:?}"),
    }
}
